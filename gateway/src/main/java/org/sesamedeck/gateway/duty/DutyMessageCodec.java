package org.sesamedeck.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Arrays;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sesamedeck.wire.generated.AccountRequests;
import org.sesamedeck.wire.generated.DutyDatagram;
import org.sesamedeck.wire.generated.UsageWindow;

/**
 * Translates messages about the duties to datagrams. They share a port with load messages and begin
 * with a zero byte, with which no protobuf message begins.
 */
public final class DutyMessageCodec {
    private static final byte MARK = 0;

    private DutyMessageCodec() {}

    /** Returns whether a datagram is a message about the duties. */
    public static boolean isDutyMessage(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == MARK;
    }

    static byte[] encode(DutyMessage message) {
        DutyDatagram.Builder datagram =
                DutyDatagram.newBuilder()
                        .setSender(message.sender())
                        .setIncarnation(message.incarnation())
                        .setTimeOfDayMillis(message.timeOfDayMillis())
                        .setHolder(message.holder().orElse(""))
                        .setFencingNumber(message.fencingNumber())
                        .setFixedThrough(message.fixedThrough().orElse(0L))
                        .setSentMillis(message.sentMillis());
        message.reply()
                .ifPresent(
                        reply ->
                                datagram.setIsReply(true)
                                        .setEchoMillis(reply.echoMillis())
                                        .setTrueTimeMillis(reply.trueTimeMillis().orElse(0L)));
        message.windows().forEach((window, counts) -> datagram.addWindows(window(window, counts)));
        byte[] body = datagram.build().toByteArray();
        byte[] bytes = new byte[body.length + 1];
        bytes[0] = MARK;
        System.arraycopy(body, 0, bytes, 1, body.length);
        return bytes;
    }

    private static UsageWindow window(long number, SortedMap<String, Long> counts) {
        UsageWindow.Builder window = UsageWindow.newBuilder().setWindow(number);
        counts.forEach(
                (account, requests) ->
                        window.addAccounts(
                                AccountRequests.newBuilder()
                                        .setAccount(account)
                                        .setRequests(requests)));
        return window.build();
    }

    /** Returns the message; empty for bytes of unrelated senders. */
    static Optional<DutyMessage> decode(byte[] bytes) {
        if (!isDutyMessage(bytes)) {
            return Optional.empty();
        }
        try {
            byte[] body = Arrays.copyOfRange(bytes, 1, bytes.length);
            return Optional.of(message(DutyDatagram.parseFrom(body)));
        } catch (InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
    }

    private static DutyMessage message(DutyDatagram datagram) {
        SortedMap<Long, SortedMap<String, Long>> windows = new TreeMap<>();
        for (UsageWindow window : datagram.getWindowsList()) {
            SortedMap<String, Long> counts = new TreeMap<>();
            for (AccountRequests account : window.getAccountsList()) {
                counts.put(account.getAccount(), Math.max(0, account.getRequests()));
            }
            windows.put(window.getWindow(), counts);
        }
        return new DutyMessage(
                datagram.getSender(),
                datagram.getIncarnation(),
                datagram.getTimeOfDayMillis(),
                Optional.of(datagram.getHolder()).filter(name -> !name.isEmpty()),
                datagram.getFencingNumber(),
                present(datagram.getFixedThrough()),
                windows,
                datagram.getSentMillis(),
                datagram.getIsReply()
                        ? Optional.of(
                                new DutyMessage.Reply(
                                        datagram.getEchoMillis(),
                                        present(datagram.getTrueTimeMillis())))
                        : Optional.empty());
    }

    /** Returns a value for which zero stands for none. */
    private static Optional<Long> present(long value) {
        return value == 0 ? Optional.empty() : Optional.of(value);
    }
}
