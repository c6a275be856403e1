package org.tamarackfold.transport;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections on an I/O thread and installs a {@link ResponseInputConduit} before Undertow's
 * client reads from them. The client offers no other place: it opens its connections through the
 * I/O thread that it is given. An instance serves one connection and is never started as a thread.
 */
final class ResponseInputOpener extends XnioIoThread {
    private final XnioIoThread thread;
    private ResponseInputConduit responseInput;
    private IoFuture<StreamConnection> opening;

    ResponseInputOpener(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** Returns the conduit of the opened connection. */
    ResponseInputConduit responseInput() {
        return responseInput;
    }

    /** Gives up opening the connection, which frees its descriptor before the system times out. */
    void cancel() {
        if (opening != null) {
            opening.cancel();
        }
    }

    private void install(StreamConnection connection) {
        responseInput = new ResponseInputConduit(connection.getSourceChannel().getConduit());
        connection.getSourceChannel().setConduit(responseInput);
    }

    @Override
    protected IoFuture<StreamConnection> openTcpStreamConnection(
            InetSocketAddress bindAddress,
            InetSocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        ChannelListener<StreamConnection> installingListener =
                connection -> {
                    install(connection);
                    ChannelListeners.invokeChannelListener(connection, openListener);
                };
        opening =
                bindAddress == null
                        ? thread.openStreamConnection(
                                destination, installingListener, bindListener, options)
                        : thread.openStreamConnection(
                                bindAddress,
                                destination,
                                installingListener,
                                bindListener,
                                options);
        return opening;
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public XnioExecutor.Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
