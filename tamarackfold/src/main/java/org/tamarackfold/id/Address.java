package org.tamarackfold.id;

/**
 * IP address and port.
 *
 * @param ip the IP address in text form; not validated beyond being non-empty
 * @param port from 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /** Rejects an empty IP address or a port out of range. */
    public Address {
        if (ip == null || ip.isEmpty() || port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("Address is malformed: " + ip + ":" + port);
        }
    }

    /**
     * Parses the form {@code ip:port}.
     *
     * @throws IllegalArgumentException when the text has another form or the port is out of range
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("Address is not of the form ip:port: " + text);
        }
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
