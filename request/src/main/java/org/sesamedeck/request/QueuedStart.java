package org.sesamedeck.request;

import java.time.Duration;
import java.util.Optional;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.RequestProfile;

/** Starts one request to engines as soon as they have room, or refuses it. */
final class QueuedStart implements WaitingLine.Waiter {
    private final RequestEngine mEngine;
    private final RequestRun mRun;
    private final String mIdentifier;
    private final String mService;
    private final RequestProfile mProfile;
    private final StartTerms mTerms;
    private final RequestLog mLog;
    private final WaitingLine mLine;
    private final long mBegunNanos;

    QueuedStart(
            RequestEngine engine,
            RequestRun run,
            String identifier,
            String service,
            RequestProfile profile,
            StartTerms terms,
            RequestLog log) {
        mEngine = engine;
        mRun = run;
        mIdentifier = identifier;
        mService = service;
        mProfile = profile;
        mTerms = terms;
        mLog = log;
        mLine = engine.waitingLine(profile.target());
        mBegunNanos = engine.clock().nanoTime();
    }

    /** Starts the request now if it would be the next one, and puts it in line otherwise. */
    void begin() {
        int ahead = mLine.ahead(mTerms);
        if (ahead == 0 && startIfRoom()) {
            return;
        }
        mLog.waiting(ahead, mEngine.router().answerRoom(mProfile));
        if (!mLine.enter(this, mTerms)) {
            leaveLine();
        }
    }

    @Override
    public boolean isOver() {
        return mRun.isOver();
    }

    @Override
    public boolean startIfRoom() {
        boolean hasRoom = mEngine.startGate().hasRoom(mProfile);
        if (hasRoom) {
            reportWait();
            mRun.place();
        }
        return hasRoom;
    }

    /** Tells the caller to come back: an answer that starts later would not end in time. */
    @Override
    public void leaveLine() {
        if (mRun.isWaiting()) {
            reportWait();
            Duration shortest = mEngine.settings().retryAfter();
            Optional<Duration> retryAfter = mLine.returnTime(mTerms, shortest, mIdentifier);
            mRun.refuse(ResultCode.OVERLOADED, "engines have no room", retryAfter);
        }
    }

    private void reportWait() {
        long waited = mEngine.clock().nanoTime() - mBegunNanos;
        mEngine.phases().answerWaited(mService, Duration.ofNanos(waited));
    }
}
