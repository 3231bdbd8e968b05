package org.sesamedeck.entry;

import java.util.List;
import org.sesamedeck.caller.OpenRequests;
import org.sesamedeck.daemon.Drainable;
import org.sesamedeck.entry.control.ControlClient;

/** Drains an entry process: refuses new requests and waits for the open ones to complete. */
final class EntryDrain implements Drainable {
    private final OpenRequests mOpenRequests;
    private final ControlClient mControl;

    EntryDrain(OpenRequests openRequests, ControlClient control) {
        mOpenRequests = openRequests;
        mControl = control;
    }

    @Override
    public boolean isReady() {
        return !mOpenRequests.isStopping() && mControl.refusalReason().isEmpty();
    }

    @Override
    public void stopAccepting() {
        mOpenRequests.stopAccepting();
    }

    @Override
    public List<String> workInProgress() {
        return mOpenRequests.describe();
    }

    @Override
    public void release() {
        // An entry process holds no leases or other resources that another process waits for.
    }
}
