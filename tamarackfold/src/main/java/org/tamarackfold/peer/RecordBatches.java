package org.tamarackfold.peer;

import io.vavr.collection.Vector;

/** Splits records into batches that fit into one message each. */
final class RecordBatches {
    /** Size at which a batch is full; takes a few ms on the slowest link between hosts. */
    private static final long BATCH_BYTES = 256 * 1024;

    /** Size that is assumed for a record without text. */
    private static final long TEXTLESS_RECORD_BYTES = 64;

    private RecordBatches() {}

    /**
     * Returns the batches, or one empty batch when there are no records. A batch exceeds the limit
     * by at most its last record.
     */
    static Vector<Vector<StoredRecord>> of(Vector<StoredRecord> records) {
        Vector<Vector<StoredRecord>> batches = Vector.empty();
        Vector<StoredRecord> batch = Vector.empty();
        long bytes = 0;
        for (StoredRecord record : records) {
            batch = batch.append(record);
            bytes +=
                    record instanceof StoredRecord.Turn turn
                            ? turn.history().length()
                            : TEXTLESS_RECORD_BYTES;
            if (bytes >= BATCH_BYTES) {
                batches = batches.append(batch);
                batch = Vector.empty();
                bytes = 0;
            }
        }
        return batch.isEmpty() && batches.nonEmpty() ? batches : batches.append(batch);
    }
}
