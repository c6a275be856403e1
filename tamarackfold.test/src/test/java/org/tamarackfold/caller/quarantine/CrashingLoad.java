package org.tamarackfold.caller.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.tamarackfold.id.RequestFingerprint;

/**
 * Calls of a fleet at ten endpoints, some of which end the endpoint that runs them. An endpoint
 * that has ended is back after 3.4 s as another one.
 */
final class CrashingLoad {
    private static final int ENDPOINTS = 10;
    private static final int SLOTS = 12;
    private static final long CRASH_MILLIS = 100;
    private static final long SOUND_MILLIS = 500;
    private static final long DOWN_MILLIS = 3_400;

    /** Time from an end until the hosts have traced it. */
    private static final long TRACE_MILLIS = 80;

    private final QuarantineFleet fleet;
    private final Random random;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private int startCount;

    /** The endpoints that each crashing request has ended. */
    final Map<RequestFingerprint, Integer> ended = new HashMap<>();

    int soundSent;
    int soundServed;
    int soundRejected;

    private final class Endpoint {
        final int number = ++startCount;
        final List<Call> calls = new ArrayList<>();
        boolean alive = true;

        void end() {
            alive = false;
            for (Call call : calls) {
                call.onEndpointEnded(number);
            }
        }
    }

    private final class Call {
        final int host;
        final RequestFingerprint request;
        final boolean crashes;
        final boolean mayRetry;
        long startedAtNanos;
        Quarantine.Trial trial;

        Call(int host, RequestFingerprint request, boolean crashes, boolean mayRetry) {
            this.host = host;
            this.request = request;
            this.crashes = crashes;
            this.mayRetry = mayRetry;
        }

        void send() {
            switch (fleet.verdict(host, request)) {
                case Verdict.Clear() -> start();
                case Verdict.Quarantined _ -> soundRejected += crashes ? 0 : 1;
                case Verdict.Suspected _ ->
                        fleet.host(host)
                                .requestTrial(QuarantineFleet.key(request), Duration.ofSeconds(4))
                                .thenAccept(this::onTrial);
            }
        }

        private void onTrial(Quarantine.TrialAnswer answer) {
            if (answer.decision() instanceof TrialDecision.Granted) {
                trial = answer.trial();
                start();
            } else if (!crashes) {
                // The caller of a sound request comes back.
                after(300, () -> new Call(host, request, false, mayRetry).send());
            }
        }

        private void start() {
            List<Endpoint> open =
                    endpoints.stream()
                            .filter(endpoint -> endpoint.alive && endpoint.calls.size() < SLOTS)
                            .toList();
            if (open.isEmpty()) {
                endTrial();
                return;
            }
            Endpoint endpoint = open.get(random.nextInt(open.size()));
            startedAtNanos = fleet.scheduler.nanoTime();
            endpoint.calls.add(this);
            after(crashes ? CRASH_MILLIS : SOUND_MILLIS, () -> finish(endpoint));
        }

        private void finish(Endpoint endpoint) {
            if (!endpoint.alive) {
                return;
            }
            if (crashes) {
                ended.merge(request, 1, Integer::sum);
                endpoint.end();
                after(
                        DOWN_MILLIS,
                        () -> endpoints.set(endpoints.indexOf(endpoint), new Endpoint()));
                return;
            }
            endpoint.calls.remove(this);
            soundServed++;
            fleet.answer(host, endpoint.number, request);
            endTrial();
        }

        void onEndpointEnded(int number) {
            long exposureNanos = fleet.scheduler.nanoTime() - startedAtNanos;
            after(
                    TRACE_MILLIS,
                    () -> {
                        fleet.host(host)
                                .recordEnd(
                                        request,
                                        QuarantineFleet.endpoint(number),
                                        Duration.ofNanos(exposureNanos));
                        endTrial();
                        if (mayRetry) {
                            new Call(host, request, crashes, false).send();
                        }
                    });
        }

        private void endTrial() {
            if (trial != null) {
                fleet.host(host).endTrial(trial);
                trial = null;
            }
        }
    }

    CrashingLoad(QuarantineFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new Endpoint());
        }
    }

    private void after(long millis, Runnable action) {
        fleet.scheduler.after(Duration.ofMillis(millis), action);
    }

    /** Sends copies of a request that crashes endpoints to random hosts, at random times. */
    void sendCrashing(RequestFingerprint request, long meanMillis, boolean mayRetry) {
        new Call(random.nextInt(fleet.names.size()), request, true, mayRetry).send();
        after(
                (long) (2 * meanMillis * random.nextDouble()),
                () -> sendCrashing(request, meanMillis, mayRetry));
    }

    /** Sends sound requests, each once, to random hosts. */
    void sendSound(long intervalMillis) {
        soundSent++;
        RequestFingerprint request = new RequestFingerprint(soundSent, 77);
        new Call(random.nextInt(fleet.names.size()), request, false, true).send();
        after(intervalMillis, () -> sendSound(intervalMillis));
    }
}
