package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.standin.VirtualScheduler;
import org.testng.annotations.Test;

/** Requests that wait because of the limit of requests in flight to a host. */
public final class LimitedPeerChannelTest {
    private LimitedPeerChannelTest() {}

    private static final Address ADDRESS = new Address("10.0.0.1", 7000);
    private static final Duration TIMEOUT = Duration.ofMillis(700);

    private static PeerRequest settlement() {
        return new PeerRequest.Settle(new ShardId(0), new ProgramId("p"), new CallId("c"), 5);
    }

    /** The timers of waiting requests are late, because the thread is busy. */
    public static final class LateTimer {
        /**
         * Guards against a request that is sent with hardly any time left: it times out, and its
         * receiver works for nobody.
         */
        @Test
        public void requestThatHasWaitedTooLongIsNotSent() {
            HostQueue queue = new HostQueue();
            HostQueue.QueuedRequest first = request(0);
            queue.admit(first, 0);
            while (queue.admit(request(0), 0) instanceof HostQueue.Admission.Send) {
                continue;
            }
            HostQueue.QueuedRequest late = request(Duration.ofMillis(300).toNanos());
            queue.admit(late, Duration.ofMillis(300).toNanos());
            long nowNanos = Duration.ofMillis(600).toNanos();
            Vector<HostQueue.QueuedRequest> next =
                    queue.onFinished(first, new PeerReply.Done(), nowNanos);
            assertEquals(next, Vector.of(late));
        }

        private static HostQueue.QueuedRequest request(long nowNanos) {
            return new HostQueue.QueuedRequest(settlement(), nowNanos, TIMEOUT);
        }
    }

    /** Requests fail before the send method returns, as without free file descriptors. */
    public static final class ImmediateFailure {
        private static final int REQUESTS = 20_000;

        /**
         * Guards against a stack that overflows when one failure leads to the next request: the
         * requests after it had no reply, and counted as in flight for ever.
         */
        @Test
        public void eachWaitingRequestHasAReply() {
            VirtualScheduler scheduler = new VirtualScheduler();
            List<CompletableFuture<PeerReply>> unanswered = new ArrayList<>();
            List<CompletableFuture<PeerReply>> results = new ArrayList<>();
            boolean[] fails = new boolean[1];
            LimitedPeerChannel channel =
                    new LimitedPeerChannel(
                            (address, request, timeout) -> {
                                CompletableFuture<PeerReply> reply = new CompletableFuture<>();
                                if (fails[0]) {
                                    reply.complete(new PeerReply.Unreachable("no connection"));
                                } else {
                                    unanswered.add(reply);
                                }
                                return reply;
                            },
                            scheduler);
            for (int i = 0; i < REQUESTS; i++) {
                results.add(channel.send(ADDRESS, settlement(), TIMEOUT));
            }
            fails[0] = true;
            unanswered.forEach(reply -> reply.complete(new PeerReply.Unreachable("timed out")));
            scheduler.advance(Duration.ofMillis(1));
            assertTrue(results.stream().allMatch(CompletableFuture::isDone), "without a reply");
        }
    }
}
