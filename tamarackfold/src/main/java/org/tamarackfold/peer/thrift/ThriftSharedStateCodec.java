package org.tamarackfold.peer.thrift;

import io.vavr.collection.Vector;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.Epoch;
import org.tamarackfold.id.HostId;
import org.tamarackfold.id.ShardId;
import org.tamarackfold.id.StoreId;
import org.tamarackfold.peer.EntryHost;
import org.tamarackfold.peer.Layout;
import org.tamarackfold.peer.SharedStateCodec;
import org.tamarackfold.peer.StorageHost;
import org.tamarackfold.peer.View;
import org.tamarackfold.peer.thrift.generated.EntryHostStruct;
import org.tamarackfold.peer.thrift.generated.LayoutStruct;
import org.tamarackfold.peer.thrift.generated.MemberStruct;
import org.tamarackfold.peer.thrift.generated.ViewStruct;

/** Encodes the state that hosts share through the key-value service as Thrift structures. */
public final class ThriftSharedStateCodec implements SharedStateCodec {
    /** Processor share of a host whose version does not register one: a whole core. */
    private static final int DEFAULT_PROCESSOR_MILLIS = 1_000;

    @Override
    public byte[] encode(Layout layout) {
        return ThriftBytes.encode(
                new LayoutStruct(
                        layout.views().map(ThriftSharedStateCodec::toStruct).toJavaList()));
    }

    private static ViewStruct toStruct(View view) {
        return new ViewStruct(
                view.shard().value(),
                view.epoch().value(),
                view.members().map(ThriftSharedStateCodec::toStruct).toJavaList());
    }

    private static MemberStruct toStruct(StorageHost storageHost) {
        return new MemberStruct(
                storageHost.host().value(),
                storageHost.store().value(),
                storageHost.address().toString(),
                storageHost.zone().value());
    }

    @Override
    public Layout decodeLayout(byte[] bytes) {
        LayoutStruct struct = ThriftBytes.decode(bytes, new LayoutStruct());
        return new Layout(Vector.ofAll(struct.getViews()).map(ThriftSharedStateCodec::toView));
    }

    private static View toView(ViewStruct struct) {
        return new View(
                new ShardId(struct.getShard()),
                new Epoch(struct.getEpoch()),
                Vector.ofAll(struct.getMembers()).map(ThriftSharedStateCodec::toStorageHost));
    }

    private static StorageHost toStorageHost(MemberStruct struct) {
        return new StorageHost(
                new HostId(struct.getHost()),
                new StoreId(struct.getStore()),
                Address.parse(struct.getAddress()),
                new AvailabilityZone(struct.getZone()));
    }

    @Override
    public byte[] encode(StorageHost storageHost) {
        return ThriftBytes.encode(toStruct(storageHost));
    }

    @Override
    public StorageHost decodeStorageHost(byte[] bytes) {
        return toStorageHost(ThriftBytes.decode(bytes, new MemberStruct()));
    }

    @Override
    public byte[] encode(EntryHost entryHost) {
        return ThriftBytes.encode(
                new EntryHostStruct(
                                entryHost.host().value(),
                                entryHost.address().toString(),
                                entryHost.zone().value(),
                                entryHost.peerAddress().toString())
                        .setProcessorMillis(entryHost.processorMillis())
                        .setReachesEndpoints(entryHost.reachesEndpoints()));
    }

    @Override
    public EntryHost decodeEntryHost(byte[] bytes) {
        EntryHostStruct struct = ThriftBytes.decode(bytes, new EntryHostStruct());
        return new EntryHost(
                new HostId(struct.getHost()),
                Address.parse(struct.getAddress()),
                new AvailabilityZone(struct.getZone()),
                Address.parse(struct.getPeerAddress()),
                struct.isSetProcessorMillis()
                        ? struct.getProcessorMillis()
                        : DEFAULT_PROCESSOR_MILLIS,
                !struct.isSetReachesEndpoints() || struct.isReachesEndpoints());
    }
}
