package org.tamarackfold.peer;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;

/** What callers have been told, to be compared with what the cluster answers later. */
final class Promises {
    static final Duration PATIENCE = Duration.ofSeconds(6);
    static final long BUDGET = 400;
    static final long TURN_TOKENS = 100;
    private static final Duration RETENTION = Duration.ofSeconds(60);

    private final StorageCluster cluster;
    final Map<CallId, String> storedTurns = new HashMap<>();
    final Map<ProgramId, Long> granted = new HashMap<>();
    private int next;
    int refused;

    Promises(StorageCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns the program that makes a turn; each turn has its own, over all shards. */
    static ProgramId programOf(CallId turn) {
        return new ProgramId("program-of-" + turn);
    }

    void storeTurn() {
        CallId call = new CallId("turn-" + next++);
        String text = "history of " + call;
        cluster.client
                .store(
                        programOf(call),
                        call,
                        text.getBytes(StandardCharsets.UTF_8),
                        RETENTION,
                        PATIENCE)
                .thenAccept(
                        stored -> {
                            if (stored) {
                                storedTurns.put(call, text);
                            }
                        });
    }

    /** Stores turns with pauses between them, in ms. */
    void storeTurns(int count, long pauseMillis) {
        for (int i = 0; i < count; i++) {
            storeTurn();
            if (pauseMillis > 0) {
                cluster.run(pauseMillis);
            }
        }
    }

    /** Stores turns with pauses; returns how many have another primary than a host. */
    int storeTurnsExcept(int count, long pauseMillis, Member away) {
        int others = 0;
        for (int i = 0; i < count; i++) {
            Layout layout = cluster.layout();
            ProgramId program = programOf(new CallId("turn-" + next));
            others += layout.view(layout.shardOf(program)).primary().equals(away) ? 0 : 1;
            storeTurns(1, pauseMillis);
        }
        return others;
    }

    void reserve(ProgramId program) {
        CallId call = new CallId("reservation-" + next++);
        cluster.client
                .reserve(program, call, TURN_TOKENS, BUDGET, PATIENCE)
                .thenAccept(
                        result -> {
                            if (result instanceof TurnHistory.Reservation.Granted) {
                                granted.merge(program, TURN_TOKENS, Long::sum);
                            } else {
                                refused++;
                            }
                        });
    }

    /** Returns the turns that were confirmed and are now said to be absent or differ. */
    List<String> lostTurns() {
        List<String> lost = new ArrayList<>();
        Map<CallId, CompletableFuture<TurnHistory.Lookup>> answers = new HashMap<>();
        storedTurns
                .keySet()
                .forEach(c -> answers.put(c, cluster.client.lookUp(programOf(c), c, PATIENCE)));
        cluster.run(PATIENCE.toMillis() + 1_000);
        answers.forEach(
                (call, answer) -> {
                    TurnHistory.Lookup lookup = answer.getNow(null);
                    boolean same =
                            lookup instanceof TurnHistory.Lookup.Found(byte[] text)
                                    && new String(text, StandardCharsets.UTF_8)
                                            .equals(storedTurns.get(call));
                    if (!same) {
                        lost.add(call + ": " + lookup);
                    }
                });
        return lost;
    }
}
