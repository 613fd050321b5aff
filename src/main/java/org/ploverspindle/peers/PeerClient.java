package org.ploverspindle.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ploverspindle.settings.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The outgoing connection to one other controller, used only for sending. All state is confined to
 * the I/O thread. After a connection could not be opened, a write has failed or the peer has
 * stopped reading, a new connection is opened only after a backoff, and frames are dropped until
 * then.
 */
final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
  private static final int MAX_QUEUED_FRAMES = 16;
  private static final long RECONNECT_BACKOFF_MS = 1_500;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_BUFFER_BYTES = 64;

  private final XnioIoThread ioThread;
  private final InetSocketAddress address;
  private final Deque<ByteBuffer> queuedFrames = new ArrayDeque<>();
  private Optional<StreamConnection> connection = Optional.empty();
  private boolean connecting;
  private long earliestConnectNanos = System.nanoTime();

  PeerClient(XnioIoThread ioThread, Address address) {
    this.ioThread = ioThread;
    this.address = new InetSocketAddress(address.host(), address.port());
  }

  /**
   * Sends a frame. Queues it while the connection is being opened or the peer is slow to read, and
   * drops it during the backoff.
   */
  void send(byte[] frame) {
    if (queuedFrames.size() >= MAX_QUEUED_FRAMES) {
      // The peer does not read. The queue must stay bounded, and older hints are worth no more than
      // newer ones, so the queue is dropped. The backoff that starts here drops the new frame too.
      disconnect("peer does not read, " + MAX_QUEUED_FRAMES + " frames are queued");
    }
    queuedFrames.add(ByteBuffer.wrap(frame));
    if (connection.isPresent()) {
      writeQueue();
    } else {
      connect();
    }
  }

  private void connect() {
    if (connecting) {
      return;
    }
    if (System.nanoTime() - earliestConnectNanos < 0) {
      queuedFrames.clear();
      return;
    }
    connecting = true;
    OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
    IoFuture<StreamConnection> pendingConnection =
        ioThread.openStreamConnection(address, this::handleConnected, null, options);
    pendingConnection.addNotifier(
        (finished, attachment) -> {
          if (finished.getStatus() != IoFuture.Status.DONE) {
            ioThread.execute(() -> disconnect("connection could not be opened"));
          }
        },
        null);
    ioThread.executeAfter(
        () -> cancelIfPending(pendingConnection), CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void cancelIfPending(IoFuture<StreamConnection> pendingConnection) {
    if (connecting && pendingConnection.getStatus() == IoFuture.Status.WAITING) {
      pendingConnection.cancel();
    }
  }

  private void handleConnected(StreamConnection opened) {
    connecting = false;
    connection = Optional.of(opened);
    opened.getSinkChannel().setWriteListener(sink -> writeQueue());
    opened.setCloseListener(closed -> handleClosed(opened));
    // Peers send nothing on this connection. It is read only to notice that the peer closed it.
    opened.getSourceChannel().setReadListener(source -> closeAtEndOfStream(opened, source));
    opened.getSourceChannel().resumeReads();
    writeQueue();
  }

  private void handleClosed(StreamConnection closed) {
    if (connection.filter(current -> current == closed).isPresent()) {
      connection = Optional.empty();
    }
  }

  private static void closeAtEndOfStream(
      StreamConnection opened, ConduitStreamSourceChannel source) {
    try {
      if (source.read(ByteBuffer.allocate(READ_BUFFER_BYTES)) < 0) {
        IoUtils.safeClose(opened);
      }
    } catch (IOException exception) {
      IoUtils.safeClose(opened);
    }
  }

  private void writeQueue() {
    if (connection.isEmpty()) {
      return;
    }
    ConduitStreamSinkChannel sink = connection.get().getSinkChannel();
    try {
      while (!queuedFrames.isEmpty()) {
        ByteBuffer frame = queuedFrames.peek();
        while (frame.hasRemaining()) {
          if (sink.write(frame) == 0) {
            sink.resumeWrites();
            return;
          }
        }
        queuedFrames.poll();
      }
      sink.flush();
      sink.suspendWrites();
    } catch (IOException exception) {
      disconnect(String.valueOf(exception.getMessage()));
    }
  }

  /** Drops the queued frames, closes the connection and starts the backoff. */
  private void disconnect(String reason) {
    LOG.debug("messages to peer dropped: address={} reason=\"{}\"", address, reason);
    connecting = false;
    queuedFrames.clear();
    earliestConnectNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECONNECT_BACKOFF_MS);
    connection.ifPresent(IoUtils::safeClose);
    connection = Optional.empty();
  }

  /** Closes the connection without sending the queued frames. */
  void close() {
    connection.ifPresent(IoUtils::safeClose);
    connection = Optional.empty();
  }
}
