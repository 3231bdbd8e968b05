package org.sesamedeck.platform;

/**
 * Names one object of the platform's object API.
 *
 * @param kind kind of the object
 * @param name name, unique within the kind
 */
public record ObjectKey(String kind, String name) {
    /** Returns the key with the given parts. */
    public static ObjectKey of(String kind, String name) {
        return new ObjectKey(kind, name);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
