package org.tamarackfold.daemon.soak;

import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/** The chain of turns of one program. Used by one caller at a time. */
public final class Program {
    /** Tokens in each event of a stream. */
    public static final int TOKENS_PER_EVENT = 10;

    /** Largest number of events of a turn. */
    public static final int MAXIMUM_EVENTS = 8;

    /** Tokens that one turn generates at most. */
    public static final int MAXIMUM_TURN_TOKENS = TOKENS_PER_EVENT * MAXIMUM_EVENTS;

    private final ProgramId id;
    private final long budget;
    private final StringBuilder history = new StringBuilder();
    private CallId lastTurn;
    private long tokens;

    /** Creates a program without turns. */
    public Program(ProgramId id, long budget) {
        this.id = id;
        this.budget = budget;
    }

    public ProgramId id() {
        return id;
    }

    public long budget() {
        return budget;
    }

    /** Returns the last turn that was answered whole; null before the first. */
    public CallId lastTurn() {
        return lastTurn;
    }

    /** Returns the body that an endpoint must receive for a new input. */
    public String expectedBody(String input) {
        return history + input;
    }

    /** Counts the tokens of an event; returns whether the budget still holds. */
    public boolean addEvent() {
        tokens += TOKENS_PER_EVENT;
        return tokens <= budget + MAXIMUM_TURN_TOKENS;
    }

    /** Adds a turn that was answered whole. */
    public void addTurn(CallId turn, String input, Iterable<String> events) {
        history.append(input);
        events.forEach(event -> history.append(event).append('\n'));
        lastTurn = turn;
    }
}
