package org.sesamedeck.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The models of all services and roles of one router. Thread-safe. */
final class WorkTimeModels {
    private final RouterSettings mSettings;
    private final Map<String, WorkTimeModel> mModels = new ConcurrentHashMap<>();

    WorkTimeModels(RouterSettings settings) {
        mSettings = settings;
    }

    /** Returns the model of an endpoint's service and role. */
    WorkTimeModel of(EndpointDescription endpoint) {
        return mModels.computeIfAbsent(
                endpoint.role() + "/" + endpoint.service(), key -> new WorkTimeModel(mSettings));
    }
}
