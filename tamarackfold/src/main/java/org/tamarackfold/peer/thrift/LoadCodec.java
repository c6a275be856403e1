package org.tamarackfold.peer.thrift;

import io.vavr.collection.Vector;
import java.util.List;
import org.tamarackfold.endpoint.cost.EndpointReport;
import org.tamarackfold.endpoint.cost.LoadReport;
import org.tamarackfold.endpoint.cost.LoadTotals;
import org.tamarackfold.endpoint.cost.ProgramPlacement;
import org.tamarackfold.id.EndpointId;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.peer.thrift.generated.EndpointLoadStruct;
import org.tamarackfold.peer.thrift.generated.LoadReportStruct;
import org.tamarackfold.peer.thrift.generated.LoadTotalsStruct;
import org.tamarackfold.peer.thrift.generated.ProgramPlacementStruct;

/** Encodes and decodes the reports of load between entry hosts as Thrift structures. */
public final class LoadCodec {
    private LoadCodec() {}

    /** Encodes a report. */
    public static byte[] encode(LoadReport report) {
        LoadReportStruct struct =
                new LoadReportStruct(
                                report.host().value(),
                                report.service().value(),
                                toStructs(report.endpoints()))
                        .setPlacements(toPlacementStructs(report.placements()))
                        .setPlacementsSeen(report.placementsSeen());
        ShareCodec.addWork(struct, report.work());
        return ThriftBytes.encode(struct);
    }

    /**
     * Decodes a report.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static LoadReport decodeReport(byte[] bytes) {
        LoadReportStruct struct = ThriftBytes.decode(bytes, new LoadReportStruct());
        return new LoadReport(
                new HostId(struct.getHost()),
                new ServiceName(struct.getServiceName()),
                toReports(struct.getEndpoints()),
                toPlacements(struct.getPlacements()),
                struct.getPlacementsSeen(),
                ShareCodec.workOf(struct));
    }

    /** Encodes totals. */
    public static byte[] encode(LoadTotals totals) {
        LoadTotalsStruct struct =
                new LoadTotalsStruct(toStructs(totals.endpoints()))
                        .setPlacements(toPlacementStructs(totals.placements()))
                        .setPlacementsSequence(totals.placementsSequence());
        ShareCodec.addShares(struct, totals.shares());
        return ThriftBytes.encode(struct);
    }

    /**
     * Decodes totals.
     *
     * @throws IllegalArgumentException when the bytes are malformed
     */
    public static LoadTotals decodeTotals(byte[] bytes) {
        LoadTotalsStruct struct = ThriftBytes.decode(bytes, new LoadTotalsStruct());
        return new LoadTotals(
                toReports(struct.getEndpoints()),
                toPlacements(struct.getPlacements()),
                struct.getPlacementsSequence(),
                ShareCodec.sharesOf(struct));
    }

    private static List<EndpointLoadStruct> toStructs(Vector<EndpointReport> reports) {
        return reports.map(
                        report ->
                                new EndpointLoadStruct(
                                                report.endpoint().value(),
                                                report.remainingMillis(),
                                                report.inFlight(),
                                                report.speed(),
                                                report.speedSamples())
                                        .setStartedAtMillis(report.startedAtMillis()))
                .toJavaList();
    }

    private static Vector<EndpointReport> toReports(List<EndpointLoadStruct> structs) {
        return Vector.ofAll(structs).map(LoadCodec::toReport);
    }

    /** Rejects figures that no host computes, which would spoil the sums of all others. */
    private static EndpointReport toReport(EndpointLoadStruct struct) {
        if (!Double.isFinite(struct.getRemainingMillis())
                || !Double.isFinite(struct.getSpeed())
                || struct.getSpeed() <= 0
                || struct.getRemainingMillis() < 0
                || struct.getInFlight() < 0
                || struct.getSpeedSamples() < 0) {
            throw new IllegalArgumentException("Load is out of range: " + struct);
        }
        return new EndpointReport(
                new EndpointId(struct.getEndpoint()),
                struct.getStartedAtMillis(),
                struct.getRemainingMillis(),
                struct.getInFlight(),
                struct.getSpeed(),
                struct.getSpeedSamples());
    }

    private static List<ProgramPlacementStruct> toPlacementStructs(
            Vector<ProgramPlacement> placements) {
        return placements
                .map(
                        placement ->
                                new ProgramPlacementStruct(
                                        placement.program().value(), placement.endpoint().value()))
                .toJavaList();
    }

    private static Vector<ProgramPlacement> toPlacements(List<ProgramPlacementStruct> structs) {
        return structs == null
                ? Vector.empty()
                : Vector.ofAll(structs)
                        .map(
                                struct ->
                                        new ProgramPlacement(
                                                new ProgramId(struct.getProgram()),
                                                new EndpointId(struct.getEndpoint())));
    }
}
