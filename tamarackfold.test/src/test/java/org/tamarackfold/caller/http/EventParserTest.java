package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Parsing of event streams that the network splits at arbitrary bytes. */
public final class EventParserTest {
    private EventParserTest() {}

    private static final String STREAM =
            "id: 1\ndata: first\n\nid: 2\r\ndata: second\r\ndata: line\r\n\r\nid: 3\ndata:third\n\n";

    private static List<String> eventTexts(List<EventParser.Event> events) {
        return events.stream()
                .map(event -> new String(event.bytes(), StandardCharsets.UTF_8))
                .toList();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Splitting into events. */
    public static final class Splitting {
        /** Guards against events that depend on where the network splits the stream. */
        @Test
        public void eventsDoNotDependOnTheSplit() {
            List<String> expected = eventTexts(new EventParser().feed(bytes(STREAM)));
            assertEquals(expected.size(), 3);
            assertEquals(String.join("", expected), STREAM);
            for (int splitAt = 1; splitAt < STREAM.length(); splitAt++) {
                EventParser parser = new EventParser();
                List<String> split = new ArrayList<>();
                split.addAll(eventTexts(parser.feed(bytes(STREAM.substring(0, splitAt)))));
                split.addAll(eventTexts(parser.feed(bytes(STREAM.substring(splitAt)))));
                assertEquals(split, expected, "split at " + splitAt);
            }
        }

        /** Guards against relaying an incomplete event. */
        @Test
        public void incompleteEventIsNotReturned() {
            EventParser parser = new EventParser();
            assertEquals(parser.feed(bytes("id: 1\ndata: a\n\nid: 2\ndata: b")).size(), 1);
            assertFalse(parser.isAtEventBoundary());
            parser.feed(bytes("\n\n"));
            assertTrue(parser.isAtEventBoundary());
        }
    }

    /** Extraction of the data fields for the turn history. */
    public static final class Data {
        /** Guards against a turn history that differs from what the endpoint generated. */
        @Test
        public void eachDataFieldIsFollowedByALineFeed() {
            List<EventParser.Event> events = new EventParser().feed(bytes(STREAM));
            StringBuilder data = new StringBuilder();
            events.forEach(e -> data.append(new String(e.data(), StandardCharsets.UTF_8)));
            assertEquals(data.toString(), "first\nsecond\nline\nthird\n");
        }
    }
}
