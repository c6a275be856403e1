package org.tamarackfold.peer;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;

/**
 * The inputs and outputs of a turn and of all turns before it. A history may share the bytes of the
 * history of its parent turn and hold only those that follow them, so that the memory of a program
 * grows with its new text instead of the square of its turns. Immutable; equal when all bytes are.
 */
public final class History {
    private final Option<History> parent;
    private final byte[] ownBytes;
    private final int length;

    private History(Option<History> parent, byte[] ownBytes) {
        this.parent = parent;
        this.ownBytes = ownBytes;
        this.length = parent.map(History::length).getOrElse(0) + ownBytes.length;
    }

    /**
     * Returns a history that holds all of its bytes; the caller must not change them afterwards.
     */
    public static History of(byte[] bytes) {
        return new History(Option.none(), bytes);
    }

    /** Returns the number of bytes, those of the parent included. */
    public int length() {
        return length;
    }

    /** Returns the number of bytes that this object holds itself. */
    int ownLength() {
        return ownBytes.length;
    }

    /** Returns the history whose bytes this one shares; none if it holds all of its bytes. */
    Option<History> parent() {
        return parent;
    }

    /**
     * Returns an equal history that shares the bytes of the given one, or this history when the
     * given one is not a shorter prefix of it. A prefix of the same length is not shared, so that
     * references never form a circle.
     */
    History sharing(History prefix) {
        if (parent.exists(shared -> shared == prefix)
                || prefix.length >= length
                || !hasSameBytes(prefix, prefix.length)) {
            return this;
        }
        return new History(Option.some(prefix), copyFrom(prefix.length));
    }

    /** Assembles all bytes; the caller must not change them. */
    public byte[] toBytes() {
        return parent.isEmpty() ? ownBytes : copyFrom(0);
    }

    private byte[] copyFrom(int start) {
        byte[] copy = new byte[length - start];
        int position = 0;
        for (byte[] segment : segments()) {
            int skipped = Math.min(Math.max(start - position, 0), segment.length);
            int target = Math.max(position - start, 0);
            System.arraycopy(segment, skipped, copy, target, segment.length - skipped);
            position += segment.length;
        }
        return copy;
    }

    /** Returns the bytes that each history holds, beginning with those of the first turn. */
    private Deque<byte[]> segments() {
        Deque<byte[]> segments = new ArrayDeque<>();
        Option<History> current = Option.some(this);
        while (current.isDefined()) {
            segments.addFirst(current.get().ownBytes);
            current = current.get().parent;
        }
        return segments;
    }

    /** Compares the first bytes of two histories, neither of which may be shorter than that. */
    private boolean hasSameBytes(History other, int count) {
        SegmentReader left = new SegmentReader(segments());
        SegmentReader right = new SegmentReader(other.segments());
        int remaining = count;
        while (remaining > 0) {
            int compared = Math.min(remaining, Math.min(left.available(), right.available()));
            if (!left.hasSameBytes(right, compared)) {
                return false;
            }
            left.skip(compared);
            right.skip(compared);
            remaining -= compared;
        }
        return true;
    }

    /** A position in a sequence of segments. */
    private static final class SegmentReader {
        private final Iterator<byte[]> following;
        private byte[] segment = {};
        private int position;

        SegmentReader(Deque<byte[]> segments) {
            following = segments.iterator();
        }

        /** Returns the number of bytes left in the current segment, at least one before the end. */
        int available() {
            while (position == segment.length && following.hasNext()) {
                segment = following.next();
                position = 0;
            }
            return segment.length - position;
        }

        boolean hasSameBytes(SegmentReader other, int count) {
            return Arrays.equals(
                    segment,
                    position,
                    position + count,
                    other.segment,
                    other.position,
                    other.position + count);
        }

        void skip(int count) {
            position += count;
        }
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof History other
                && (this == other || length == other.length && hasSameBytes(other, length));
    }

    @Override
    public int hashCode() {
        int hash = 1;
        for (byte[] segment : segments()) {
            for (byte value : segment) {
                hash = 31 * hash + value;
            }
        }
        return hash;
    }

    /** Describes the history without its text, which belongs to a customer. */
    @Override
    public String toString() {
        return "History[length=" + length + "]";
    }
}
