"""A link between clients and a gateway: Ethernet's segments, 3 ms each way, a window of 64 KB.

Usage: link.py LISTEN_PORT TARGET_PORT. Both are on the loopback interface.
"""
import socket
import sys
import threading
import time

WINDOW_BYTES = 65_536
ROUND_TRIP_SECONDS = 0.006
SEGMENT_BYTES = 1_448


def pump(source, target, is_answer):
    """Passes bytes on, a window in each round trip towards the client."""
    try:
        while True:
            data = source.recv(WINDOW_BYTES)
            if not data:
                break
            time.sleep(ROUND_TRIP_SECONDS if is_answer else ROUND_TRIP_SECONDS / 2)
            target.sendall(data)
    except OSError:
        pass
    for end in (source, target):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def connect(client, port):
    server = socket.socket()
    server.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES // 2)
    try:
        server.connect(("127.0.0.1", port))
    except OSError:
        client.close()
        return
    for end in (client, server):
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=pump, args=(client, server, False), daemon=True).start()
    pump(server, client, True)
    client.close()
    server.close()


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", int(sys.argv[1])))
    listener.listen(128)
    while True:
        client, _ = listener.accept()
        threading.Thread(target=connect, args=(client, int(sys.argv[2])), daemon=True).start()


main()
