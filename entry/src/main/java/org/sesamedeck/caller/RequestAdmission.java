package org.sesamedeck.caller;

import jakarta.servlet.http.HttpServletRequest;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.sesamedeck.core.Clock;
import org.sesamedeck.core.Plan;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.routing.AdmissionController;
import org.sesamedeck.routing.AdmissionTicket;
import org.sesamedeck.routing.RequestProfile;

/** Reads the deadline and priority headers of a request and waits for its admission. */
final class RequestAdmission {
    private static final String DEADLINE_HEADER = "X-Deadline-Millis";
    private static final String PRIORITY_HEADER = "X-Priority";

    private final AdmissionController mController;
    private final Clock mClock;
    private final Duration mDefaultDeadline;

    private RequestAdmission(
            AdmissionController controller, Clock clock, Duration defaultDeadline) {
        mController = controller;
        mClock = clock;
        mDefaultDeadline = defaultDeadline;
    }

    static RequestAdmission of(
            AdmissionController controller, Clock clock, Duration defaultDeadline) {
        return new RequestAdmission(controller, clock, defaultDeadline);
    }

    /** Returns the monotonic time by which the response must have started, in nanoseconds. */
    long deadlineNanos(HttpServletRequest request) {
        long maxMillis = mDefaultDeadline.toMillis();
        String headerValue = request.getHeader(DEADLINE_HEADER);
        long millis = maxMillis;
        if (headerValue != null) {
            if (!headerValue.matches("\\d{1,12}")) {
                throw CallerException.of(
                        ResultCode.BAD_REQUEST,
                        DEADLINE_HEADER + " must be a number of milliseconds");
            }
            millis = Math.min(maxMillis, Long.parseLong(headerValue));
        }
        return mClock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the plan's priority, or the requested priority if that is lower. */
    static int priority(HttpServletRequest request, Plan plan) {
        String headerValue = request.getHeader(PRIORITY_HEADER);
        if (headerValue == null) {
            return plan.priority();
        }
        if (!headerValue.matches("[0-9]")) {
            throw CallerException.of(
                    ResultCode.BAD_REQUEST, PRIORITY_HEADER + " must be a number from 0 to 9");
        }
        return Math.min(plan.priority(), Integer.parseInt(headerValue));
    }

    /** Returns the remaining time until a deadline, never negative. */
    Duration remaining(long deadlineNanos) {
        return Duration.ofNanos(Math.max(0, deadlineNanos - mClock.nanoTime()));
    }

    /**
     * Waits until the request is admitted. The ticket is closed together with the request.
     *
     * @throws CallerException with the code of the refusal, with DEADLINE_EXCEEDED when the
     *     deadline has passed, or with STOPPING when the thread is interrupted
     */
    AdmissionTicket admit(RequestProfile profile, OpenRequest openRequest) {
        CompletableFuture<AdmissionTicket> submitted = mController.submit(profile);
        try {
            AdmissionTicket ticket =
                    submitted.get(
                            remaining(profile.deadlineNanos()).toNanos(), TimeUnit.NANOSECONDS);
            openRequest.onClose(ticket::close);
            return ticket;
        } catch (ExecutionException refused) {
            throw CallerException.from(refused);
        } catch (TimeoutException timeout) {
            withdraw(submitted);
            throw CallerException.of(
                    ResultCode.DEADLINE_EXCEEDED, "the request was not admitted in time");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            withdraw(submitted);
            throw CallerException.of(ResultCode.STOPPING, "interrupted while waiting");
        }
    }

    private static void withdraw(CompletableFuture<AdmissionTicket> submitted) {
        // A ticket granted concurrently with the cancellation must be closed.
        if (!submitted.cancel(false)) {
            submitted.thenAccept(AdmissionTicket::close);
        }
    }
}
