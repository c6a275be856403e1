package org.tamarackfold.caller.http;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.caller.quarantine.Quarantine;
import org.tamarackfold.caller.quarantine.QuarantineChannel;
import org.tamarackfold.caller.quarantine.QuarantineRecorder;
import org.tamarackfold.caller.quarantine.SuspicionKey;
import org.tamarackfold.caller.quarantine.SuspicionReport;
import org.tamarackfold.caller.quarantine.TrialKey;
import org.tamarackfold.endpoint.EndpointTable;
import org.tamarackfold.id.HostId;
import org.tamarackfold.metrics.HostMetrics;
import org.tamarackfold.standin.ExecutorScheduler;

/** Creates quarantines of hosts without other hosts. */
final class Quarantines {
    private Quarantines() {}

    /** Creates the quarantine of the only host of its fleet. */
    static Quarantine ofSingleHost(EndpointTable endpoints) {
        return Quarantine.builder()
                .self(new HostId("entry-1"))
                .channel(new NoOthers())
                .recorder(new NoRecorder())
                .versions(endpoints::versions)
                .endpointCount(
                        service -> endpoints.availableSlots(service, System.nanoTime()).size())
                .scheduler(new ExecutorScheduler())
                .random(new Random(7))
                .metrics(new HostMetrics())
                .build();
    }

    private static final class NoRecorder implements QuarantineRecorder {
        @Override
        public void record(SuspicionReport report) {}

        @Override
        public void remove(SuspicionKey key) {}
    }

    private static final class NoOthers implements QuarantineChannel {
        @Override
        public Vector<HostId> others() {
            return Vector.empty();
        }

        @Override
        public CompletableFuture<Option<Exchange>> exchange(HostId host, Exchange message) {
            return CompletableFuture.completedFuture(Option.none());
        }

        @Override
        public CompletableFuture<Option<TrialReply>> requestTrial(
                HostId host, TrialKey key, Duration lease) {
            return CompletableFuture.completedFuture(Option.none());
        }

        @Override
        public void endTrial(HostId host, TrialKey key, Vector<SuspicionReport> reports) {
            throw new AssertionError("there is no other host");
        }
    }
}
