package org.sesamedeck.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.util.BufferRecycler;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import com.fasterxml.jackson.core.util.RecyclerPool;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Creates JSON mappers that share a bounded buffer pool. */
final class Json {
    private static final int MAX_POOLED_BUFFERS = 64;

    /**
     * The default pool keeps buffers per thread; 700 threads with open streams held 24 MB in them.
     */
    private static final RecyclerPool<BufferRecycler> BUFFERS =
            JsonRecyclerPools.newBoundedPool(MAX_POOLED_BUFFERS);

    private static final JsonFactory FACTORY = newFactoryBuilder().build();

    private Json() {}

    static JsonFactoryBuilder newFactoryBuilder() {
        return new JsonFactoryBuilder().recyclerPool(BUFFERS);
    }

    static ObjectMapper newMapper() {
        return new ObjectMapper(FACTORY);
    }
}
