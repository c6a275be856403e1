package org.tamarackfold.settings;

import io.vavr.control.Option;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;

/** The settings of a process. */
public final class HostSettings {
    private final HostRole role;
    private final HostId host;
    private final AvailabilityZone zone;
    private final String adapter;
    private final Option<Address> callers;
    private final Option<Address> readiness;
    private final Option<Address> directory;
    private final Address peers;
    private final Address metrics;
    private final KeyValueSettings keyValue;
    private final int toleratedLosses;
    private final Option<Path> dataFolder;
    private final int diskMegabytes;
    private final Duration shutdownGrace;
    private final Duration directoryTimeToLive;

    private HostSettings(Builder builder) {
        this.role = Objects.requireNonNull(builder.role);
        this.host = Objects.requireNonNull(builder.host);
        this.zone = Objects.requireNonNull(builder.zone);
        this.adapter = Objects.requireNonNull(builder.adapter);
        this.callers = builder.callers;
        this.readiness = builder.readiness;
        this.directory = builder.directory;
        this.peers = Objects.requireNonNull(builder.peers);
        this.metrics = Objects.requireNonNull(builder.metrics);
        this.keyValue = Objects.requireNonNull(builder.keyValue);
        this.toleratedLosses = builder.toleratedLosses;
        this.dataFolder = builder.dataFolder;
        this.diskMegabytes = builder.diskMegabytes;
        this.shutdownGrace = builder.shutdownGrace;
        this.directoryTimeToLive = builder.directoryTimeToLive;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the role. */
    public HostRole role() {
        return role;
    }

    /** Returns the name of the host. */
    public HostId host() {
        return host;
    }

    /** Returns the availability zone. */
    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the name of the platform adapter. */
    public String adapter() {
        return adapter;
    }

    /** Returns where calls are accepted. */
    public Option<Address> callers() {
        return callers;
    }

    /** Returns where the platform asks whether the host is ready. */
    public Option<Address> readiness() {
        return readiness;
    }

    /** Returns where callers ask for entry hosts. */
    public Option<Address> directory() {
        return directory;
    }

    /** Returns where messages of other hosts are accepted. */
    public Address peers() {
        return peers;
    }

    /** Returns where metrics are served. */
    public Address metrics() {
        return metrics;
    }

    /** Returns how to use the key-value service. */
    public KeyValueSettings keyValue() {
        return keyValue;
    }

    /** Returns the storage hosts whose simultaneous loss must lose nothing. */
    public int toleratedLosses() {
        return toleratedLosses;
    }

    /** Returns the folder for durable state. */
    public Option<Path> dataFolder() {
        return dataFolder;
    }

    /** Returns the size of the disk, in MB; 0 without disk. */
    public int diskMegabytes() {
        return diskMegabytes;
    }

    /** Returns the time from the request to stop until the process is killed. */
    public Duration shutdownGrace() {
        return shutdownGrace;
    }

    /** Returns how long callers keep the addresses of entry hosts. */
    public Duration directoryTimeToLive() {
        return directoryTimeToLive;
    }

    /** Builds settings. */
    public static final class Builder {
        private HostRole role;
        private HostId host;
        private AvailabilityZone zone;
        private String adapter;
        private Option<Address> callers = Option.none();
        private Option<Address> readiness = Option.none();
        private Option<Address> directory = Option.none();
        private Address peers;
        private Address metrics;
        private KeyValueSettings keyValue;
        private int toleratedLosses;
        private Option<Path> dataFolder = Option.none();
        private int diskMegabytes;
        private Duration shutdownGrace = Duration.ofSeconds(8);
        private Duration directoryTimeToLive = Duration.ofSeconds(1);

        private Builder() {}

        /** Sets the role. */
        public Builder role(HostRole value) {
            role = value;
            return this;
        }

        /** Sets the name of the host. */
        public Builder host(HostId value) {
            host = value;
            return this;
        }

        /** Sets the availability zone. */
        public Builder zone(AvailabilityZone value) {
            zone = value;
            return this;
        }

        /** Sets the platform adapter. */
        public Builder adapter(String value) {
            adapter = value;
            return this;
        }

        /** Sets where calls are accepted. */
        public Builder callers(Option<Address> value) {
            callers = value;
            return this;
        }

        /** Sets where readiness is asked. */
        public Builder readiness(Option<Address> value) {
            readiness = value;
            return this;
        }

        /** Sets where callers ask for entry hosts. */
        public Builder directory(Option<Address> value) {
            directory = value;
            return this;
        }

        /** Sets where messages of other hosts are accepted. */
        public Builder peers(Address value) {
            peers = value;
            return this;
        }

        /** Sets where metrics are served. */
        public Builder metrics(Address value) {
            metrics = value;
            return this;
        }

        /** Sets how to use the key-value service. */
        public Builder keyValue(KeyValueSettings value) {
            keyValue = value;
            return this;
        }

        /** Sets the tolerated losses. */
        public Builder toleratedLosses(int value) {
            toleratedLosses = value;
            return this;
        }

        /** Sets the folder for durable state. */
        public Builder dataFolder(Option<Path> value) {
            dataFolder = value;
            return this;
        }

        /** Sets the size of the disk, in MB. */
        public Builder diskMegabytes(int value) {
            diskMegabytes = value;
            return this;
        }

        /** Sets the time to shut down. */
        public Builder shutdownGrace(Duration value) {
            shutdownGrace = value;
            return this;
        }

        /** Sets how long callers keep addresses. */
        public Builder directoryTimeToLive(Duration value) {
            directoryTimeToLive = value;
            return this;
        }

        /** Creates the settings. */
        public HostSettings build() {
            return new HostSettings(this);
        }
    }
}
