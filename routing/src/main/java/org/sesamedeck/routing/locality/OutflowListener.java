package org.sesamedeck.routing.locality;

/** Receives notable changes of the outflow of a service. */
public interface OutflowListener {
    /** Ignores all changes. */
    OutflowListener NONE =
            new OutflowListener() {
                @Override
                public void began(ServiceRole key, DomainOutflow outflow) {}

                @Override
                public void changed(ServiceRole key, DomainOutflow outflow) {}

                @Override
                public void ended(ServiceRole key, DomainOutflow outflow) {}
            };

    /** Requests may leave from now on. */
    void began(ServiceRole key, DomainOutflow outflow);

    /** The share has changed a lot since the last call. */
    void changed(ServiceRole key, DomainOutflow outflow);

    /** All requests stay from now on. */
    void ended(ServiceRole key, DomainOutflow outflow);
}
