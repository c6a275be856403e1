package org.tamarackfold.peer.thrift;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import org.tamarackfold.caller.quarantine.QuarantineChannel;
import org.tamarackfold.caller.quarantine.Software;
import org.tamarackfold.caller.quarantine.SuspicionKey;
import org.tamarackfold.caller.quarantine.SuspicionReport;
import org.tamarackfold.caller.quarantine.TrialDecision;
import org.tamarackfold.caller.quarantine.TrialKey;
import org.tamarackfold.endpoint.Incarnation;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.RequestFingerprint;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.id.SoftwareVersion;
import org.tamarackfold.peer.thrift.generated.EndedRunStruct;
import org.tamarackfold.peer.thrift.generated.QuarantineRecordStruct;
import org.tamarackfold.peer.thrift.generated.SuspicionExchangeStruct;
import org.tamarackfold.peer.thrift.generated.SuspicionStruct;
import org.tamarackfold.peer.thrift.generated.TrialReplyStruct;
import org.tamarackfold.peer.thrift.generated.TrialRequestStruct;

/** Encodes and decodes messages about suspected requests as Thrift structures. */
public final class QuarantineCodec {
    /**
     * A request for a trial, or the statement that one has ended.
     *
     * @param lease after which time the trial counts as ended; none when it has ended
     * @param reports what the sender knows of the request
     */
    public record TrialMessage(
            HostId host, TrialKey key, Option<Duration> lease, Vector<SuspicionReport> reports) {}

    private QuarantineCodec() {}

    /** Encodes what a host knows. */
    public static byte[] encode(QuarantineChannel.Exchange exchange) {
        return ThriftBytes.encode(
                new SuspicionExchangeStruct(exchange.digest(), toStructs(exchange.reports())));
    }

    /**
     * Decodes what a host knows.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static QuarantineChannel.Exchange decodeExchange(byte[] bytes) {
        SuspicionExchangeStruct struct = ThriftBytes.decode(bytes, new SuspicionExchangeStruct());
        return new QuarantineChannel.Exchange(
                struct.getDigest(), toReports(struct.getSuspicions()));
    }

    /** Encodes a request for a trial, or its end. */
    public static byte[] encode(TrialMessage message) {
        TrialRequestStruct struct =
                new TrialRequestStruct()
                        .setHost(message.host().value())
                        .setRequest(message.key().request().toBytes())
                        .setServiceName(message.key().service().value())
                        .setSuspicions(toStructs(message.reports()));
        message.lease().forEach(lease -> struct.setLeaseMillis(lease.toMillis()));
        return ThriftBytes.encode(struct);
    }

    /**
     * Decodes a request for a trial, or its end.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static TrialMessage decodeTrialMessage(byte[] bytes) {
        TrialRequestStruct struct = ThriftBytes.decode(bytes, new TrialRequestStruct());
        return new TrialMessage(
                new HostId(struct.getHost()),
                new TrialKey(
                        RequestFingerprint.ofBytes(struct.getRequest()),
                        new ServiceName(struct.getServiceName())),
                Option.when(struct.isSetLeaseMillis(), () -> millis(struct.getLeaseMillis())),
                toReports(struct.getSuspicions()));
    }

    /** Encodes the reply to a request for a trial. */
    public static byte[] encode(QuarantineChannel.TrialReply reply) {
        TrialReplyStruct struct = new TrialReplyStruct().setSuspicions(toStructs(reply.reports()));
        switch (reply.decision()) {
            case TrialDecision.Granted() -> {}
            case TrialDecision.Later(Duration delay) -> struct.setAskAgainMillis(delay.toMillis());
            case TrialDecision.Denied(Duration remaining) ->
                    struct.setDeniedMillis(remaining.toMillis());
        }
        return ThriftBytes.encode(struct);
    }

    /**
     * Decodes the reply to a request for a trial.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static QuarantineChannel.TrialReply decodeTrialReply(byte[] bytes) {
        TrialReplyStruct struct = ThriftBytes.decode(bytes, new TrialReplyStruct());
        return new QuarantineChannel.TrialReply(
                decision(struct), toReports(struct.getSuspicions()));
    }

    /**
     * Encodes a record of a request that crashes endpoints.
     *
     * @param writtenAtMillis the time of day, in milliseconds since the Unix epoch
     */
    public static byte[] encodeRecord(SuspicionReport report, long writtenAtMillis) {
        return ThriftBytes.encode(new QuarantineRecordStruct(toStruct(report), writtenAtMillis));
    }

    /**
     * Decodes a record as it is true at a time of day, in milliseconds since the Unix epoch.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static SuspicionReport decodeRecord(byte[] bytes, long nowMillis) {
        QuarantineRecordStruct struct = ThriftBytes.decode(bytes, new QuarantineRecordStruct());
        // Clocks of hosts differ.
        long ageMillis = Math.max(0, nowMillis - struct.getWrittenAtMillis());
        return toReport(struct.getSuspicion()).after(Duration.ofMillis(ageMillis));
    }

    private static TrialDecision decision(TrialReplyStruct struct) {
        if (struct.isSetDeniedMillis()) {
            return new TrialDecision.Denied(millis(struct.getDeniedMillis()));
        }
        return struct.isSetAskAgainMillis()
                ? new TrialDecision.Later(millis(struct.getAskAgainMillis()))
                : new TrialDecision.Granted();
    }

    private static Duration millis(long value) {
        if (value < 0) {
            throw new IllegalArgumentException("Time is negative: " + value + " ms");
        }
        return Duration.ofMillis(value);
    }

    private static List<SuspicionStruct> toStructs(Vector<SuspicionReport> reports) {
        return reports.map(QuarantineCodec::toStruct).toJavaList();
    }

    private static SuspicionStruct toStruct(SuspicionReport report) {
        SuspicionStruct struct =
                new SuspicionStruct(
                        ByteBuffer.wrap(report.key().request().toBytes()),
                        report.key().software().service().value(),
                        report.key().software().version().value(),
                        report.runs().map(QuarantineCodec::toStruct).toJavaList());
        report.quarantinedAge().forEach(age -> struct.setQuarantinedAgeMillis(age.toMillis()));
        report.clearedAge().forEach(age -> struct.setClearedAgeMillis(age.toMillis()));
        return struct;
    }

    private static EndedRunStruct toStruct(SuspicionReport.Run run) {
        return new EndedRunStruct(
                run.endpoint().id().value(),
                run.endpoint().startedAtMillis(),
                run.exposureMillis(),
                run.age().toMillis());
    }

    private static Vector<SuspicionReport> toReports(List<SuspicionStruct> structs) {
        return Vector.ofAll(structs).map(QuarantineCodec::toReport);
    }

    private static SuspicionReport toReport(SuspicionStruct struct) {
        return new SuspicionReport(
                new SuspicionKey(
                        RequestFingerprint.ofBytes(struct.getRequest()),
                        new Software(
                                new ServiceName(struct.getServiceName()),
                                new SoftwareVersion(struct.getVersion()))),
                Vector.ofAll(struct.getRuns()).map(QuarantineCodec::toRun),
                Option.when(
                        struct.isSetQuarantinedAgeMillis(),
                        () -> millis(struct.getQuarantinedAgeMillis())),
                Option.when(
                        struct.isSetClearedAgeMillis(),
                        () -> millis(struct.getClearedAgeMillis())));
    }

    private static SuspicionReport.Run toRun(EndedRunStruct struct) {
        return new SuspicionReport.Run(
                new Incarnation(new EndpointId(struct.getEndpoint()), struct.getStartedAtMillis()),
                millis(struct.getExposureMillis()).toMillis(),
                millis(struct.getAgeMillis()));
    }
}
