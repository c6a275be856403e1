package org.tamarackfold.peer;

/** Encodes the state that hosts share through the key-value service. Thread-safe. */
public interface SharedStateCodec {
    /** Encodes a layout. */
    byte[] encode(Layout layout);

    /**
     * Decodes a layout.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    Layout decodeLayout(byte[] bytes);

    /** Encodes the registration of a storage host. */
    byte[] encode(StorageHost storageHost);

    /**
     * Decodes the registration of a storage host.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    StorageHost decodeStorageHost(byte[] bytes);

    /** Encodes the registration of an entry host. */
    byte[] encode(EntryHost entryHost);

    /**
     * Decodes the registration of an entry host.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    EntryHost decodeEntryHost(byte[] bytes);
}
