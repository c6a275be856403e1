package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;

import io.vavr.collection.Vector;
import java.time.Duration;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ShardId;
import org.testng.annotations.Test;

/** Requests that wait because of the limit of requests in flight to a host. */
public final class LimitedPeerChannelTest {
    private LimitedPeerChannelTest() {}

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
}
