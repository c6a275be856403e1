package org.tamarackfold.peer;

import io.vavr.collection.Vector;

/** Divides many records into messages of bounded size. */
final class RecordBatches {
    /** Bytes of text in one batch; takes some ms on the slowest link between hosts. */
    private static final long BATCH_BYTES = 256 * 1024;

    /** Bytes that a record without text counts. */
    private static final long CHARGE_BYTES = 64;

    private RecordBatches() {}

    /** Returns the batches; one empty batch when there are no records. */
    static Vector<Vector<StoredRecord>> of(Vector<StoredRecord> records) {
        Vector<Vector<StoredRecord>> batches = Vector.empty();
        Vector<StoredRecord> batch = Vector.empty();
        long bytes = 0;
        for (StoredRecord record : records) {
            batch = batch.append(record);
            bytes += record instanceof StoredRecord.Turn turn ? turn.text().length : CHARGE_BYTES;
            if (bytes >= BATCH_BYTES) {
                batches = batches.append(batch);
                batch = Vector.empty();
                bytes = 0;
            }
        }
        return batch.isEmpty() && batches.nonEmpty() ? batches : batches.append(batch);
    }
}
