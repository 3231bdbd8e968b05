package org.sesamedeck.gateway.duty;

import java.util.Collection;
import java.util.List;

/** Carries messages about the duties between processes; any of them may be lost or doubled. */
public interface DutyTransport {
    /** Receives messages and the processes that there are. */
    interface Listener {
        /** A message arrived. */
        void received(byte[] bytes);

        /** The registered processes, including this one. */
        void processesChanged(List<String> names);
    }

    /** Sets the listener. */
    void setDutyListener(Listener listener);

    /** Sends a message to each of the named processes that is known. */
    void sendDutyMessage(byte[] bytes, Collection<String> recipients);
}
