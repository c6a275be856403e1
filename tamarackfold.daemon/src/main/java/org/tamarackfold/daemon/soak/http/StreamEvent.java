package org.tamarackfold.daemon.soak.http;

import org.tamarackfold.id.CallId;

/**
 * An event of a stream. Its data names its origin, so that a caller recognizes events that belong
 * to another call, run or software version.
 *
 * @param attempt the attempt that the endpoint ran
 * @param number the position in the stream, from 1
 * @param softwareVersion the version of the endpoint's software
 * @param signature the signature of the run
 */
record StreamEvent(CallId attempt, long number, String softwareVersion, String signature) {
    private static final int FIELD_COUNT = 4;

    String data() {
        return attempt + " " + number + " " + softwareVersion + " " + signature;
    }

    String encode() {
        return "id: " + number + "\ndata: " + data() + "\n\n";
    }

    /**
     * Decodes the data of an event.
     *
     * @throws IllegalArgumentException when it has another form
     */
    static StreamEvent decode(String data) {
        String[] fields = data.split(" ");
        if (fields.length != FIELD_COUNT) {
            throw new IllegalArgumentException("event data is malformed: " + data);
        }
        return new StreamEvent(
                new CallId(fields[0]), Long.parseLong(fields[1]), fields[2], fields[3]);
    }
}
