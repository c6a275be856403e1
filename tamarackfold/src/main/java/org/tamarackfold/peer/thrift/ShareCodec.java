package org.tamarackfold.peer.thrift;

import io.vavr.collection.Vector;
import org.tamarackfold.endpoint.share.CustomerWork;
import org.tamarackfold.endpoint.share.OverShare;
import org.tamarackfold.endpoint.share.ReportedWork;
import org.tamarackfold.endpoint.share.ShareTotals;
import org.tamarackfold.id.CustomerName;
import org.tamarackfold.peer.thrift.generated.CustomerWorkStruct;
import org.tamarackfold.peer.thrift.generated.LoadReportStruct;
import org.tamarackfold.peer.thrift.generated.LoadTotalsStruct;
import org.tamarackfold.peer.thrift.generated.OverShareStruct;

/**
 * Encodes and decodes the work and the shares of customers as fields of the messages of load. The
 * fields are left out when they are empty.
 */
final class ShareCodec {
    private ShareCodec() {}

    static void addWork(LoadReportStruct struct, ReportedWork work) {
        if (work.customers().isEmpty()) {
            return;
        }
        struct.setCustomers(
                work.customers()
                        .map(
                                known ->
                                        new CustomerWorkStruct(
                                                known.customer().value(), known.remainingMillis()))
                        .toJavaList());
        struct.setSmallerCustomersMillis(work.smallerMillis());
    }

    /**
     * Returns the work that a report states; none for a host of an earlier version.
     *
     * @throws IllegalArgumentException when a figure is one that no host computes
     */
    static ReportedWork workOf(LoadReportStruct struct) {
        if (!struct.isSetCustomers()) {
            return ReportedWork.NONE;
        }
        return new ReportedWork(
                Vector.ofAll(struct.getCustomers())
                        .map(
                                known ->
                                        new CustomerWork(
                                                new CustomerName(known.getCustomer()),
                                                requireWork(known.getRemainingMillis()))),
                requireWork(struct.getSmallerCustomersMillis()));
    }

    static void addShares(LoadTotalsStruct struct, ShareTotals shares) {
        if (shares.overShare().isEmpty()) {
            return;
        }
        struct.setOverShare(
                shares.overShare()
                        .map(over -> new OverShareStruct(over.customer().value(), over.ratio()))
                        .toJavaList());
        struct.setDrainMillis(shares.drainMillis());
    }

    /**
     * Returns the shares that totals state; none from a host of an earlier version.
     *
     * @throws IllegalArgumentException when a figure is one that no host computes
     */
    static ShareTotals sharesOf(LoadTotalsStruct struct) {
        if (!struct.isSetOverShare()) {
            return ShareTotals.NONE;
        }
        return new ShareTotals(
                Vector.ofAll(struct.getOverShare())
                        .map(
                                over ->
                                        new OverShare(
                                                new CustomerName(over.getCustomer()),
                                                requireWork(over.getRatio()))),
                requireWork(struct.getDrainMillis()));
    }

    private static double requireWork(double value) {
        if (!Double.isFinite(value) || value < 0) {
            throw new IllegalArgumentException("Work of a customer is out of range: " + value);
        }
        return value;
    }
}
