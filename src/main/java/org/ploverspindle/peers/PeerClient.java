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

/**
 * The outgoing connection to one other controller, for sending only. All state is confined to the
 * I/O thread. While a peer refuses connections or does not read, a new one is tried only after a
 * pause, and what was to be sent is dropped.
 */
final class PeerClient {
  private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
  private static final int MAX_QUEUED_FRAMES = 16;
  private static final long RECONNECT_PAUSE_MS = 1_500;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_BUFFER_BYTES = 64;

  private final XnioIoThread io;
  private final InetSocketAddress address;
  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private Optional<StreamConnection> connection = Optional.empty();
  private boolean connecting;
  private long nextConnectNanos = System.nanoTime();

  PeerClient(XnioIoThread io, Address address) {
    this.io = io;
    this.address = new InetSocketAddress(address.host(), address.port());
  }

  void send(byte[] frame) {
    if (queue.size() >= MAX_QUEUED_FRAMES) {
      // The peer does not take what it is told; older hints are worth no more than this one.
      dropQueue("it takes nothing");
    }
    queue.add(ByteBuffer.wrap(frame));
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
    if (System.nanoTime() - nextConnectNanos < 0) {
      queue.clear();
      return;
    }
    connecting = true;
    OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
    IoFuture<StreamConnection> future =
        io.openStreamConnection(address, this::connected, null, options);
    future.addNotifier(
        (f, nothing) -> {
          if (f.getStatus() != IoFuture.Status.DONE) {
            io.execute(() -> dropQueue("no connection"));
          }
        },
        null);
    io.executeAfter(
        () -> {
          if (connecting && future.getStatus() == IoFuture.Status.WAITING) {
            future.cancel();
          }
        },
        CONNECT_TIMEOUT_MS,
        TimeUnit.MILLISECONDS);
  }

  private void connected(StreamConnection opened) {
    connecting = false;
    connection = Optional.of(opened);
    opened.getSinkChannel().setWriteListener(c -> writeQueue());
    opened.setCloseListener(
        c -> {
          if (connection.filter(now -> now == opened).isPresent()) {
            connection = Optional.empty();
          }
        });
    // Nothing is said here; reading notices the peer's end.
    opened
        .getSourceChannel()
        .setReadListener(
            c -> {
              try {
                if (c.read(ByteBuffer.allocate(READ_BUFFER_BYTES)) < 0) {
                  IoUtils.safeClose(opened);
                }
              } catch (IOException e) {
                IoUtils.safeClose(opened);
              }
            });
    opened.getSourceChannel().resumeReads();
    writeQueue();
  }

  private void writeQueue() {
    if (connection.isEmpty()) {
      return;
    }
    ConduitStreamSinkChannel sink = connection.get().getSinkChannel();
    try {
      while (!queue.isEmpty()) {
        ByteBuffer frame = queue.peek();
        while (frame.hasRemaining()) {
          if (sink.write(frame) == 0) {
            sink.resumeWrites();
            return;
          }
        }
        queue.poll();
      }
      sink.flush();
      sink.suspendWrites();
    } catch (IOException exception) {
      dropQueue(String.valueOf(exception.getMessage()));
    }
  }

  private void dropQueue(String reason) {
    LOG.debug("nothing can be told to {}: {}", address, reason);
    connecting = false;
    queue.clear();
    nextConnectNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECONNECT_PAUSE_MS);
    connection.ifPresent(IoUtils::safeClose);
    connection = Optional.empty();
  }

  void close() {
    connection.ifPresent(IoUtils::safeClose);
    connection = Optional.empty();
  }
}
