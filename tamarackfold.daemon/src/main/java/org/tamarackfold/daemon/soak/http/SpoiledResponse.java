package org.tamarackfold.daemon.soak.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.tamarackfold.platform.standin.PlatformDocuments;

/** Bytes that a faulty endpoint sends in place of a response, after which it closes. */
public enum SpoiledResponse {
    /** A success of a process that is not an endpoint. */
    UNSIGNED("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nstarting", ""),

    /** An interim response that no final one follows. */
    INTERIM("HTTP/1.1 102 Processing\r\n\r\n", ""),

    /** Interim responses without end. */
    ENDLESS_INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n"),

    /** A head without end. */
    ENDLESS_HEAD("HTTP/1.1 200 OK\r\nX-Filler: ", "filler"),

    /** An extension of a chunk without end. */
    ENDLESS_EXTENSION(chunkedHead() + "4;name=", "filler"),

    /** A trailer without end. */
    ENDLESS_TRAILER(chunkedHead() + "4\r\nword\r\n0\r\nX-Trailer: ", "filler"),

    /** An event, or a body, without end. */
    ENDLESS_BODY(signedHead() + "\r\ndata: ", "filler"),

    /** Tiny chunks without end. */
    ENDLESS_CHUNKS(chunkedHead(), "1\r\nx\r\n");

    /** Ends the bytes when the host reads them all; more than it keeps. */
    private static final long MAXIMUM_BYTES = 16 * 1024 * 1024;

    private static final int REPETITIONS_PER_BLOCK = 500;

    private final String beginning;
    private final String repeated;

    SpoiledResponse(String beginning, String repeated) {
        this.beginning = beginning;
        this.repeated = repeated;
    }

    private static String signedHead() {
        return "HTTP/1.1 200 OK\r\n" + PlatformDocuments.SIGNATURE + ": spoiled-1\r\n";
    }

    private static String chunkedHead() {
        return signedHead() + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /** Writes the bytes until the host closes the connection or has read enough. */
    void writeTo(OutputStream output) throws IOException {
        output.write(beginning.getBytes(StandardCharsets.US_ASCII));
        byte[] block = repeated.repeat(REPETITIONS_PER_BLOCK).getBytes(StandardCharsets.US_ASCII);
        for (long written = 0; block.length > 0 && written < MAXIMUM_BYTES; ) {
            output.write(block);
            written += block.length;
        }
        output.flush();
    }
}
