package org.tamarackfold.caller.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Event streams that arrive in arbitrary pieces. */
public final class EventParserTest {
    private EventParserTest() {}

    private static final String STREAM =
            "id: 1\ndata: first\n\nid: 2\r\ndata: second\r\ndata: line\r\n\r\nid: 3\ndata:third\n\n";

    private static List<String> texts(List<EventParser.Event> events) {
        return events.stream()
                .map(event -> new String(event.bytes(), StandardCharsets.UTF_8))
                .toList();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Splitting. */
    public static final class Splitting {
        /** Guards against events that depend on where the network cuts the bytes. */
        @Test
        public void anyCutGivesTheSameEvents() {
            List<String> whole = texts(new EventParser().feed(bytes(STREAM)));
            assertEquals(whole.size(), 3);
            assertEquals(String.join("", whole), STREAM);
            for (int cut = 1; cut < STREAM.length(); cut++) {
                EventParser parser = new EventParser();
                List<String> parts = new ArrayList<>();
                parts.addAll(texts(parser.feed(bytes(STREAM.substring(0, cut)))));
                parts.addAll(texts(parser.feed(bytes(STREAM.substring(cut)))));
                assertEquals(parts, whole, "cut at " + cut);
            }
        }

        /** Guards against passing on an event that broke off. */
        @Test
        public void anUnfinishedEventIsHeldBack() {
            EventParser parser = new EventParser();
            assertEquals(parser.feed(bytes("id: 1\ndata: a\n\nid: 2\ndata: b")).size(), 1);
            assertFalse(parser.isAtEventBoundary());
            parser.feed(bytes("\n\n"));
            assertTrue(parser.isAtEventBoundary());
        }
    }

    /** Data for the history. */
    public static final class Data {
        /** Guards against a history that differs from what the endpoint generated. */
        @Test
        public void eachDataLineIsFollowedByALineFeed() {
            List<EventParser.Event> events = new EventParser().feed(bytes(STREAM));
            StringBuilder data = new StringBuilder();
            events.forEach(e -> data.append(new String(e.data(), StandardCharsets.UTF_8)));
            assertEquals(data.toString(), "first\nsecond\nline\nthird\n");
        }
    }
}
