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
  private static final int MOST_WAITING = 16;
  private static final long PAUSE_MS = 1_500;
  private static final long CONNECT_MS = 1_000;
  private static final int READ_BYTES = 64;

  private final XnioIoThread io;
  private final InetSocketAddress address;
  private final Deque<ByteBuffer> waiting = new ArrayDeque<>();
  private Optional<StreamConnection> connection = Optional.empty();
  private boolean connecting;
  private long notBeforeNanos = System.nanoTime();

  PeerClient(XnioIoThread io, Address address) {
    this.io = io;
    this.address = new InetSocketAddress(address.host(), address.port());
  }

  void send(byte[] frame) {
    if (waiting.size() >= MOST_WAITING) {
      // The peer does not take what it is told; older hints are worth no more than this one.
      drop("it takes nothing");
    }
    waiting.add(ByteBuffer.wrap(frame));
    if (connection.isPresent()) {
      write();
    } else {
      connect();
    }
  }

  private void connect() {
    if (connecting) {
      return;
    }
    if (System.nanoTime() - notBeforeNanos < 0) {
      waiting.clear();
      return;
    }
    connecting = true;
    OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
    IoFuture<StreamConnection> future =
        io.openStreamConnection(address, this::opened, null, options);
    future.addNotifier(
        (f, nothing) -> {
          if (f.getStatus() != IoFuture.Status.DONE) {
            io.execute(() -> drop("no connection"));
          }
        },
        null);
    io.executeAfter(
        () -> {
          if (connecting && future.getStatus() == IoFuture.Status.WAITING) {
            future.cancel();
          }
        },
        CONNECT_MS,
        TimeUnit.MILLISECONDS);
  }

  private void opened(StreamConnection fresh) {
    connecting = false;
    connection = Optional.of(fresh);
    fresh.getSinkChannel().setWriteListener(c -> write());
    fresh.setCloseListener(
        c -> {
          if (connection.filter(now -> now == fresh).isPresent()) {
            connection = Optional.empty();
          }
        });
    // Nothing is said here; reading notices the peer's end.
    fresh
        .getSourceChannel()
        .setReadListener(
            c -> {
              try {
                if (c.read(ByteBuffer.allocate(READ_BYTES)) < 0) {
                  IoUtils.safeClose(fresh);
                }
              } catch (IOException e) {
                IoUtils.safeClose(fresh);
              }
            });
    fresh.getSourceChannel().resumeReads();
    write();
  }

  private void write() {
    if (connection.isEmpty()) {
      return;
    }
    ConduitStreamSinkChannel sink = connection.get().getSinkChannel();
    try {
      while (!waiting.isEmpty()) {
        ByteBuffer first = waiting.peek();
        while (first.hasRemaining()) {
          if (sink.write(first) == 0) {
            sink.resumeWrites();
            return;
          }
        }
        waiting.poll();
      }
      sink.flush();
      sink.suspendWrites();
    } catch (IOException e) {
      drop(String.valueOf(e.getMessage()));
    }
  }

  private void drop(String why) {
    LOG.debug("nothing can be told to {}: {}", address, why);
    connecting = false;
    waiting.clear();
    notBeforeNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
    connection.ifPresent(IoUtils::safeClose);
    connection = Optional.empty();
  }

  void close() {
    connection.ifPresent(IoUtils::safeClose);
    connection = Optional.empty();
  }
}
