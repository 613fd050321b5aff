package org.ploverspindle.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.settings.Address;
import org.ploverspindle.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Listens for the other controllers, and sends to them over one connection each. */
public final class PeerServer implements Peers {
  private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

  private final Scheduler scheduler;
  private final XnioWorker worker;
  private final XnioIoThread io;
  private final Address at;
  private final int mostConnections;
  private final Consumer<PeerMessage> listener;
  private final Map<String, PeerClient> lines = new LinkedHashMap<>();
  private final Set<StreamConnection> open = new HashSet<>();
  private Optional<AcceptingChannel<StreamConnection>> server = Optional.empty();

  /**
   * @param listener is called on the scheduler's thread of control
   */
  public PeerServer(
      Scheduler scheduler,
      XnioWorker worker,
      Address at,
      List<Settings.Member> members,
      Consumer<PeerMessage> listener) {
    this.scheduler = scheduler;
    this.worker = worker;
    this.io = worker.getIoThread();
    this.at = at;
    // Each peer has one line to here; a second one while a lost first one is not noticed yet.
    this.mostConnections = 2 * members.size() + 2;
    this.listener = listener;
    members.forEach(m -> lines.put(m.name(), new PeerClient(io, m.address())));
  }

  /** Starts to listen. */
  public void open() throws IOException {
    ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
    AcceptingChannel<StreamConnection> channel =
        worker.createStreamConnectionServer(
            new InetSocketAddress(at.host(), at.port()),
            accept,
            OptionMap.create(Options.REUSE_ADDRESSES, true));
    channel.resumeAccepts();
    server = Optional.of(channel);
  }

  /** The port that is listened on, for a server opened at port 0. */
  public int port() {
    return server.map(s -> s.getLocalAddress(InetSocketAddress.class).getPort()).orElse(-1);
  }

  /** Stops listening and closes all connections. */
  public void close() {
    server.ifPresent(IoUtils::safeClose);
    io.execute(
        () -> {
          lines.values().forEach(PeerClient::close);
          List.copyOf(open).forEach(IoUtils::safeClose);
        });
  }

  @Override
  public void send(String member, PeerMessage record) {
    byte[] frame = PeerCodec.encode(record);
    PeerClient line = lines.get(member);
    if (line != null) {
      io.execute(() -> line.send(frame));
    }
  }

  @Override
  public void broadcast(PeerMessage record) {
    byte[] frame = PeerCodec.encode(record);
    io.execute(() -> lines.values().forEach(line -> line.send(frame)));
  }

  private void accept(AcceptingChannel<StreamConnection> channel) {
    try {
      StreamConnection fresh = channel.accept();
      if (fresh == null) {
        return;
      }
      if (open.size() >= mostConnections) {
        IoUtils.safeClose(fresh);
        return;
      }
      open.add(fresh);
      fresh.setCloseListener(c -> open.remove(fresh));
      ByteBuffer received = ByteBuffer.allocate(2 * PeerCodec.MAX_LENGTH);
      fresh.getSourceChannel().setReadListener(source -> read(fresh, source, received));
      fresh.getSourceChannel().resumeReads();
    } catch (IOException e) {
      LOG.debug("a controller's connection could not be accepted", e);
    }
  }

  private void read(StreamConnection from, ConduitStreamSourceChannel source, ByteBuffer received) {
    try {
      while (true) {
        int n = source.read(received);
        if (n == 0) {
          return;
        }
        if (n < 0) {
          IoUtils.safeClose(from);
          return;
        }
        received.flip();
        for (int length = PeerCodec.wholeFrame(received);
            length >= 0;
            length = PeerCodec.wholeFrame(received)) {
          PeerCodec.take(received, length)
              .ifPresent(r -> scheduler.execute(EventPriority.DECISION, () -> listener.accept(r)));
        }
        received.compact();
      }
    } catch (PeerCodec.Broken | IOException e) {
      LOG.info("a connection from a controller is ended: {}", e.getMessage());
      IoUtils.safeClose(from);
    }
  }
}
