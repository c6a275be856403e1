package org.tamarackfold.settings;

import io.vavr.control.Option;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Objects;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;

/** The settings of a host process. Immutable. */
public final class HostSettings {
    private final HostRole role;
    private final HostId host;
    private final AvailabilityZone zone;
    private final String adapterName;
    private final Option<Address> callerAddress;
    private final Option<Address> readinessAddress;
    private final Option<Address> directoryAddress;
    private final Address peerAddress;
    private final Address metricsAddress;
    private final KeyValueSettings keyValue;
    private final int toleratedLosses;
    private final Option<Path> dataFolder;
    private final int diskMegabytes;
    private final Duration shutdownGrace;
    private final Duration directoryTimeToLive;
    private final PropagationBounds propagationBounds;
    private final int processorMillis;
    private final Option<CustomerSettings> customers;
    private final boolean learnedPlacement;
    private final int placementMinimumHosts;
    private final boolean fairShares;

    private HostSettings(Builder builder) {
        this.role = Objects.requireNonNull(builder.role);
        this.host = Objects.requireNonNull(builder.host);
        this.zone = Objects.requireNonNull(builder.zone);
        this.adapterName = Objects.requireNonNull(builder.adapterName);
        this.callerAddress = builder.callerAddress;
        this.readinessAddress = builder.readinessAddress;
        this.directoryAddress = builder.directoryAddress;
        this.peerAddress = Objects.requireNonNull(builder.peerAddress);
        this.metricsAddress = Objects.requireNonNull(builder.metricsAddress);
        this.keyValue = Objects.requireNonNull(builder.keyValue);
        this.toleratedLosses = builder.toleratedLosses;
        this.dataFolder = builder.dataFolder;
        this.diskMegabytes = builder.diskMegabytes;
        this.shutdownGrace = builder.shutdownGrace;
        this.directoryTimeToLive = builder.directoryTimeToLive;
        this.propagationBounds = builder.propagationBounds;
        this.processorMillis = builder.processorMillis;
        this.customers = builder.customers;
        this.learnedPlacement = builder.learnedPlacement;
        this.placementMinimumHosts = builder.placementMinimumHosts;
        this.fairShares = builder.fairShares;
    }

    /** Returns a builder without the required values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the role, which decides the kind of host that is started. */
    public HostRole role() {
        return role;
    }

    /** Returns the name of the host, unique in the system. */
    public HostId host() {
        return host;
    }

    /** Returns the availability zone of the host. */
    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the name of the platform adapter. */
    public String adapterName() {
        return adapterName;
    }

    /** Returns the listen address for calls; none on a storage host. */
    public Option<Address> callerAddress() {
        return callerAddress;
    }

    /** Returns the listen address for readiness checks of the platform; none on a storage host. */
    public Option<Address> readinessAddress() {
        return readinessAddress;
    }

    /** Returns the listen address of the directory of entry hosts; none on a storage host. */
    public Option<Address> directoryAddress() {
        return directoryAddress;
    }

    /** Returns the listen address for requests from other hosts. */
    public Address peerAddress() {
        return peerAddress;
    }

    /** Returns the listen address for the scraping of metrics. */
    public Address metricsAddress() {
        return metricsAddress;
    }

    /** Returns the connection settings of the key-value service. */
    public KeyValueSettings keyValue() {
        return keyValue;
    }

    /** Returns how many storage hosts may be lost at the same time without loss of data. */
    public int toleratedLosses() {
        return toleratedLosses;
    }

    /** Returns the folder for durable state; none on an entry host. */
    public Option<Path> dataFolder() {
        return dataFolder;
    }

    /**
     * Returns the size of the disk for durable state, in MB (10^6 bytes); 0 on an entry host, and
     * when it is not known.
     */
    public int diskMegabytes() {
        return diskMegabytes;
    }

    /** Returns the time from the termination signal until the process is killed. */
    public Duration shutdownGrace() {
        return shutdownGrace;
    }

    /** Returns the time to live of the addresses that the directory returns to callers. */
    public Duration directoryTimeToLive() {
        return directoryTimeToLive;
    }

    /** Returns how soon changes in the key-value service must be in force. */
    public PropagationBounds propagationBounds() {
        return propagationBounds;
    }

    /** Returns the share of processor time of the host, in thousandths of a core. */
    public int processorMillis() {
        return processorMillis;
    }

    /** Returns how customers are treated; none in a deployment without customers. */
    public Option<CustomerSettings> customers() {
        return customers;
    }

    /** Returns whether endpoints are selected by the learned cost of calls. */
    public boolean learnedPlacement() {
        return learnedPlacement;
    }

    /** Returns the registered entry hosts from which on the learned cost is used. */
    public int placementMinimumHosts() {
        return placementMinimumHosts;
    }

    /** Returns whether customers get fair shares of endpoints; requires the learned cost. */
    public boolean fairShares() {
        return fairShares;
    }

    /**
     * Builder; the role, host, zone, adapter name, peer address, metrics address and keyValue are
     * required.
     */
    public static final class Builder {
        private HostRole role;
        private HostId host;
        private AvailabilityZone zone;
        private String adapterName;
        private Option<Address> callerAddress = Option.none();
        private Option<Address> readinessAddress = Option.none();
        private Option<Address> directoryAddress = Option.none();
        private Address peerAddress;
        private Address metricsAddress;
        private KeyValueSettings keyValue;
        private int toleratedLosses;
        private Option<Path> dataFolder = Option.none();
        private int diskMegabytes;
        private Duration shutdownGrace = Duration.ofSeconds(8);
        private Duration directoryTimeToLive = Duration.ofSeconds(1);
        private PropagationBounds propagationBounds = PropagationBounds.DEFAULT;
        private int processorMillis = 1_000;
        private Option<CustomerSettings> customers = Option.none();
        private boolean learnedPlacement;
        private int placementMinimumHosts;
        private boolean fairShares;

        private Builder() {}

        /** Sets the role; required. */
        public Builder role(HostRole value) {
            role = value;
            return this;
        }

        /** Sets the name of the host; required. */
        public Builder host(HostId value) {
            host = value;
            return this;
        }

        /** Sets the availability zone; required. */
        public Builder zone(AvailabilityZone value) {
            zone = value;
            return this;
        }

        /** Sets the name of the platform adapter; required. */
        public Builder adapterName(String value) {
            adapterName = value;
            return this;
        }

        /** Sets the listen address for calls; entry hosts need one. */
        public Builder callerAddress(Option<Address> value) {
            callerAddress = value;
            return this;
        }

        /** Sets the listen address for readiness checks; entry hosts need one. */
        public Builder readinessAddress(Option<Address> value) {
            readinessAddress = value;
            return this;
        }

        /** Sets the listen address of the directory; entry hosts need one. */
        public Builder directoryAddress(Option<Address> value) {
            directoryAddress = value;
            return this;
        }

        /** Sets the listen address for requests from other hosts; required. */
        public Builder peerAddress(Address value) {
            peerAddress = value;
            return this;
        }

        /** Sets the listen address for the scraping of metrics; required. */
        public Builder metricsAddress(Address value) {
            metricsAddress = value;
            return this;
        }

        /** Sets the connection settings of the key-value service; required. */
        public Builder keyValue(KeyValueSettings value) {
            keyValue = value;
            return this;
        }

        /** Sets how many storage hosts may be lost at the same time; 0 by default. */
        public Builder toleratedLosses(int value) {
            toleratedLosses = value;
            return this;
        }

        /** Sets the folder for durable state; storage hosts need one. */
        public Builder dataFolder(Option<Path> value) {
            dataFolder = value;
            return this;
        }

        /** Sets the disk space for durable state, in MB (10^6 bytes); storage hosts need it. */
        public Builder diskMegabytes(int value) {
            diskMegabytes = value;
            return this;
        }

        /**
         * Sets the time from the termination signal until the process is killed; 8 s by default.
         */
        public Builder shutdownGrace(Duration value) {
            shutdownGrace = value;
            return this;
        }

        /** Sets the time to live of directory addresses; 1 s by default. */
        public Builder directoryTimeToLive(Duration value) {
            directoryTimeToLive = value;
            return this;
        }

        /** Sets how soon changes must be in force; {@link PropagationBounds#DEFAULT} by default. */
        public Builder propagationBounds(PropagationBounds value) {
            propagationBounds = value;
            return this;
        }

        /** Sets the share of processor time, in thousandths of a core; a whole core by default. */
        public Builder processorMillis(int value) {
            processorMillis = value;
            return this;
        }

        /** Sets how customers are treated; none by default. */
        public Builder customers(Option<CustomerSettings> value) {
            customers = value;
            return this;
        }

        /** Sets whether endpoints are selected by the learned cost of calls; false by default. */
        public Builder learnedPlacement(boolean value) {
            learnedPlacement = value;
            return this;
        }

        /** Sets the entry hosts from which on the learned cost is used; 0 by default. */
        public Builder placementMinimumHosts(int value) {
            placementMinimumHosts = value;
            return this;
        }

        /** Sets whether customers get fair shares of endpoints; false by default. */
        public Builder fairShares(boolean value) {
            fairShares = value;
            return this;
        }

        /**
         * Creates the settings.
         *
         * @throws NullPointerException when a required value is missing
         */
        public HostSettings build() {
            return new HostSettings(this);
        }
    }
}
