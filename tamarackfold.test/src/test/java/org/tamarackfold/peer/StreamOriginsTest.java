package org.tamarackfold.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import org.tamarackfold.id.CallId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The recorded origins of event streams. Guards against a stream that is resumed at another version
 * because storage hosts have lost where it began.
 */
public final class StreamOriginsTest {
    private StreamOriginsTest() {}

    private static final ProgramId PROGRAM = new ProgramId("p");
    private static final CallId FIRST_CALL = new CallId("first");

    private static StreamOrigin origin(String version, int attempt) {
        return new StreamOrigin(new ServiceName("models"), new SoftwareVersion(version), attempt);
    }

    /** Storage hosts under faults. */
    public static final class Durability {
        private StorageCluster cluster;
        private int resumptions;

        /** Starts a cluster for each test. */
        @BeforeMethod
        public void start() {
            cluster = StorageCluster.withLayout(4, 1, 7);
            resumptions = 0;
        }

        private TurnHistory.Reservation reserve(CallId call, StreamStart stream) {
            CompletableFuture<TurnHistory.Reservation> reserved =
                    cluster.client.reserve(
                            PROGRAM, call, 5, 1_000, stream, Workload.REQUEST_TIMEOUT);
            for (int i = 0; i < 70 && !reserved.isDone(); i++) {
                cluster.advance(100);
            }
            return reserved.getNow(null);
        }

        private void begin(String version, int attempt) {
            StreamOrigin origin = origin(version, attempt);
            TurnHistory.Reservation result = reserve(FIRST_CALL, new StreamStart.Begins(origin));
            assertEquals(result, new TurnHistory.Reservation.Granted(Option.some(origin)));
        }

        private Option<StreamOrigin> resume() {
            CallId call = new CallId("resumption-" + resumptions++);
            TurnHistory.Reservation result = reserve(call, new StreamStart.Resumes(FIRST_CALL));
            assertTrue(result instanceof TurnHistory.Reservation.Granted, "" + result);
            return ((TurnHistory.Reservation.Granted) result).origin();
        }

        private StorageCluster.SimulatedHost primary() {
            Layout layout = cluster.layout();
            return cluster.hostOf(layout.view(layout.shardOf(PROGRAM)).primary());
        }

        /** Guards against an origin that ends with its reservation. */
        @Test
        public void originIsKeptAfterTheSettlement() {
            begin("v1", 1);
            cluster.client.settle(PROGRAM, FIRST_CALL, 3);
            cluster.advance(300);
            assertEquals(resume(), Option.some(origin("v1", 1)));
        }

        /** Guards against an origin that only the primary holds. */
        @Test
        public void originSurvivesTheLossOfThePrimary() {
            begin("v1", 1);
            primary().loseDisk();
            cluster.advance(6_000);
            assertEquals(resume(), Option.some(origin("v1", 1)));
        }

        /** Guards against the earlier of two origins after the primary was lost. */
        @Test
        public void laterOriginSurvivesTheLossOfThePrimary() {
            begin("v1", 1);
            begin("v2", 2);
            cluster.client.settle(PROGRAM, FIRST_CALL, 3);
            cluster.advance(300);
            primary().kill();
            cluster.advance(6_000);
            assertEquals(resume(), Option.some(origin("v2", 2)));
        }

        /** Guards against an origin that is not written to disk. */
        @Test
        public void originSurvivesALossOfPowerEverywhere() {
            begin("v1", 1);
            begin("v2", 2);
            cluster.hosts.forEach(StorageCluster.SimulatedHost::losePower);
            cluster.hosts.forEach(StorageCluster.SimulatedHost::start);
            cluster.advance(4_000);
            assertEquals(resume(), Option.some(origin("v2", 2)));
        }

        /** Guards against resumptions that need the key-value service. */
        @Test
        public void originIsRecordedAndReadWithoutTheKeyValueService() {
            cluster.keyValue.setDown(true);
            cluster.advance(2_000);
            begin("v1", 1);
            assertEquals(resume(), Option.some(origin("v1", 1)));
        }

        /** Guards against an origin for a call that never began a stream. */
        @Test
        public void unknownCallHasNoOrigin() {
            assertEquals(resume(), Option.none());
        }

        /** Guards against a resumption that becomes an origin of its own. */
        @Test
        public void resumptionHasNoOrigin() {
            begin("v1", 1);
            resume();
            TurnHistory.Reservation result =
                    reserve(
                            new CallId("other"),
                            new StreamStart.Resumes(new CallId("resumption-0")));
            assertEquals(result, new TurnHistory.Reservation.Granted(Option.none()));
        }

        /** Guards against a relay on another entry host that drops the origin. */
        @Test
        public void originPassesARelay() {
            cluster.addRelay();
            cluster.network.cutBoth(StorageCluster.ENTRY_ADDRESS, primary().storageHost.address());
            begin("v1", 1);
            assertEquals(resume(), Option.some(origin("v1", 1)));
        }
    }

    /** Records of one call that hosts receive in any order. */
    public static final class Merging {
        private static StoredRecord charge(
                long tokens, boolean settled, Option<StreamOrigin> origin) {
            return new StoredRecord.Charge(PROGRAM, FIRST_CALL, tokens, settled, 1_000, origin);
        }

        /** Guards against hosts that differ in the origin after the same records. */
        @Test
        public void anyOrderGivesTheLatestOrigin() {
            Vector<StoredRecord> records =
                    Vector.of(
                            charge(5, false, Option.some(origin("v2", 1))),
                            charge(5, false, Option.some(origin("v1", 2))),
                            charge(3, true, Option.none()),
                            charge(5, false, Option.none()));
            for (Vector<StoredRecord> order : records.permutations()) {
                ShardRecords merged = new ShardRecords();
                order.forEach(merged::apply);
                assertEquals(
                        merged.charge(PROGRAM, FIRST_CALL).get(),
                        charge(3, true, Option.some(origin("v1", 2))));
            }
        }
    }
}
