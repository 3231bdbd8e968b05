package org.sesamedeck.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.sesamedeck.core.ResultCode;
import org.sesamedeck.core.SesamedeckException;
import org.sesamedeck.node.AcceptedConfiguration;
import org.sesamedeck.node.CandidateLists;
import org.sesamedeck.platform.ObjectKey;
import org.sesamedeck.platform.ObjectStore;
import org.sesamedeck.platform.StoredObject;

/**
 * Writes the candidate lists in the object API, and reads them and the other objects that the
 * commands show. Failures have the result codes of {@link ObjectStore}.
 */
final class ConfigurationClient {
    static final ObjectKey LISTS = ObjectKey.of("configuration", "lists");
    static final ObjectKey ACCEPTED = ObjectKey.of("configuration", "accepted");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ObjectStore mStore;

    private ConfigurationClient(ObjectStore store) {
        mStore = store;
    }

    static ConfigurationClient of(ObjectStore store) {
        return new ConfigurationClient(store);
    }

    /** Returns the candidate lists; both are empty when none were written. */
    OperatorLists readLists() {
        return read(LISTS)
                .map(
                        object ->
                                OperatorLists.of(
                                        object.version(), CandidateLists.parse(object.value())))
                .orElse(OperatorLists.none());
    }

    /** Returns the accepted configuration, if any version was accepted. */
    Optional<AcceptedConfiguration> readAccepted() {
        return read(ACCEPTED).map(object -> AcceptedConfiguration.parse(object.value()));
    }

    /**
     * Writes the lists if the stored version is still the one that they are based on.
     *
     * <p>When the response of the store is lost, the object is read back: the write took effect if
     * the stored value, with its author and note, is the one that was sent.
     *
     * @return the new version
     * @throws SesamedeckException with VERSION_CONFLICT when the stored version is another one, or
     *     STORE_OUTCOME_UNKNOWN when the response was lost and the write may still take effect
     */
    long writeLists(OperatorLists lists) {
        String value = lists.toCandidate().toJson();
        try {
            return lists.version() == 0
                    ? mStore.create(LISTS, value).join()
                    : mStore.update(LISTS, lists.version(), value).join();
        } catch (CompletionException wrapped) {
            SesamedeckException failure = SesamedeckException.from(wrapped);
            if (failure.code() != ResultCode.STORE_OUTCOME_UNKNOWN) {
                throw failure;
            }
            return readBack(lists, value, failure);
        }
    }

    private long readBack(OperatorLists lists, String value, SesamedeckException failure) {
        Optional<StoredObject> stored;
        try {
            stored = read(LISTS);
        } catch (SesamedeckException unavailable) {
            throw failure;
        }
        long version = stored.map(StoredObject::version).orElse(0L);
        if (stored.isPresent() && stored.get().value().equals(value)) {
            return version;
        }
        if (version == lists.version()) {
            // A write still in progress could take effect later, so the outcome stays unknown.
            throw failure;
        }
        throw SesamedeckException.of(
                ResultCode.VERSION_CONFLICT,
                "the lists are at version " + version + ", expected " + lists.version());
    }

    /** Reads an object; throws the cause of a failed future without its wrapper. */
    Optional<StoredObject> read(ObjectKey key) {
        try {
            return mStore.get(key).join();
        } catch (CompletionException wrapped) {
            throw SesamedeckException.from(wrapped);
        }
    }

    /** Reads all objects of a kind. */
    List<StoredObject> list(String kind) {
        try {
            return mStore.list(kind).join();
        } catch (CompletionException wrapped) {
            throw SesamedeckException.from(wrapped);
        }
    }

    static JsonNode parse(StoredObject object) {
        try {
            return MAPPER.readTree(object.value());
        } catch (JsonProcessingException malformed) {
            throw SesamedeckException.of(
                    ResultCode.INTERNAL_ERROR,
                    "object " + object.key() + " is not JSON: " + malformed.getOriginalMessage(),
                    malformed);
        }
    }
}
