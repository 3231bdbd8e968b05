package org.sesamedeck.node;

/** Receives new versions of documents, on the control thread. */
@FunctionalInterface
public interface DocumentListener {
    /** Called after the first version of a document was added or a higher one replaced it. */
    void onDocument(VersionedDocument document);
}
