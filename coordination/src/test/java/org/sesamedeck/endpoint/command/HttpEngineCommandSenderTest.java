package org.sesamedeck.endpoint.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamedeck.core.HostAddress;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.platform.ScriptedServer;

class HttpEngineCommandSenderTest {
    private static final EngineCommand COMMAND =
            new EngineCommand("3-17-1", 17, CommandKind.SET_ROLE, Map.of("role", "decode"));

    @ParameterizedTest
    @CsvSource({
        "202 Accepted, ACCEPTED",
        "200 OK, ALREADY_DONE",
        "409 Conflict, CONFLICT",
        "400 Bad Request, REFUSED"
    })
    void responseStatusIsMappedToReply(String status, CommandReply reply) throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith(status, "", "");
                EngineCommandSender sender = sender();
                EngineConnection connection = sender.open(server.address()).join()) {
            assertThat(connection.send(COMMAND).join(), is(reply));
            assertThat(server.request(), containsString("POST /v1/commands "));
            assertThat(server.request(), containsString("\"fencingNumber\":17"));
        }
    }

    /** Engines of other versions may add fields, leave fields out or use an alias. */
    @Test
    void stateIsReadWithUnknownAndAbsentFields() throws IOException {
        String body =
                "{\"role\":\"mixed\",\"lastCommandId\":\"x\",\"commandInProgress\":null,"
                        + "\"highestFencingNumber\":5,\"checksFencing\":true,\"more\":1}";
        try (ScriptedServer server = ScriptedServer.respondingWith("200 OK", "", body);
                EngineCommandSender sender = sender()) {
            EngineStateResponse state = sender.readState(server.address()).join();
            assertThat(state.hasCompleted("x"), is(true));
            assertThat(state.checksFencing(), is(true));
            assertThat(state.highestFencingNumber(), is(5L));
        }
    }

    /**
     * The bound on late commands requires that the connection exists before the lease check and
     * that a command never moves to a later connection.
     */
    @Test
    void commandIsSentOverTheConnectionThatWasOpenedAndOverNoOther() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                EngineCommandSender sender = sender()) {
            server.setSoTimeout(5000);
            HostAddress address = HostAddress.of("127.0.0.1", server.getLocalPort());
            EngineConnection connection = sender.open(address).join();
            // The engine accepts the connection before anything is sent, and closes it.
            Socket accepted = server.accept();
            accepted.setSoLinger(true, 0);
            accepted.close();
            CompletionException failure =
                    assertThrows(CompletionException.class, () -> connection.send(COMMAND).join());
            assertThat(SesamedeckException.from(failure).code(), is(ResultCode.OUTCOME_UNKNOWN));
            server.setSoTimeout(200);
            assertThrows(java.net.SocketTimeoutException.class, server::accept);
            connection.close();
        }
    }

    private static EngineCommandSender sender() {
        return HttpEngineCommandSender.create(Duration.ofSeconds(5));
    }
}
