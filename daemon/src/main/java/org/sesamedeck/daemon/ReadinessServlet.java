package org.sesamedeck.daemon;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Readiness check for the load balancer: status 200 when ready, otherwise 503. */
final class ReadinessServlet extends HttpServlet {
    private static final long serialVersionUID = 1L;

    private final transient ShutdownSequence mSequence;
    private final transient Drainable mDrainable;

    private ReadinessServlet(ShutdownSequence sequence, Drainable drainable) {
        mSequence = sequence;
        mDrainable = drainable;
    }

    static ReadinessServlet of(ShutdownSequence sequence, Drainable drainable) {
        return new ReadinessServlet(sequence, drainable);
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        boolean isReady = !mSequence.isStopping() && mDrainable.isReady();
        response.setStatus(isReady ? 200 : 503);
        response.setContentType("text/plain");
        response.getWriter().println(isReady ? "ready" : "not ready");
    }
}
