package org.ploverspindle.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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

/**
 * Accepts connections from the other controllers, and sends to each of them over one outgoing
 * connection. Sockets are confined to one I/O thread; received messages are delivered on the event
 * loop.
 */
public final class PeerServer implements Peers {
  private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

  private final Scheduler scheduler;
  private final XnioWorker worker;
  private final XnioIoThread ioThread;
  private final Address listenAddress;
  private final int maxConnections;
  private final Consumer<PeerMessage> listener;
  private final Map<String, PeerClient> clients = new LinkedHashMap<>();

  /** The accepted connections, the one that has been silent for the longest time first. */
  private final Set<StreamConnection> acceptedConnections = new LinkedHashSet<>();

  private Optional<AcceptingChannel<StreamConnection>> listeningChannel = Optional.empty();

  /**
   * @param listener receives each message, on the event loop
   */
  public PeerServer(
      Scheduler scheduler,
      XnioWorker worker,
      Address listenAddress,
      List<Settings.OtherController> otherControllers,
      Consumer<PeerMessage> listener) {
    this.scheduler = scheduler;
    this.worker = worker;
    this.ioThread = worker.getIoThread();
    this.listenAddress = listenAddress;
    // Each peer has one connection to this server, and a second one while the loss of the first has
    // not been noticed. Two more are spare.
    this.maxConnections = 2 * otherControllers.size() + 2;
    this.listener = listener;
    otherControllers.forEach(
        controller ->
            clients.put(controller.name(), new PeerClient(ioThread, controller.address())));
  }

  /**
   * Starts to listen on the address.
   *
   * @throws IOException if the address can't be bound
   */
  public void open() throws IOException {
    ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
    AcceptingChannel<StreamConnection> channel =
        worker.createStreamConnectionServer(
            new InetSocketAddress(listenAddress.host(), listenAddress.port()),
            accept,
            OptionMap.create(Options.REUSE_ADDRESSES, true));
    channel.resumeAccepts();
    listeningChannel = Optional.of(channel);
  }

  /**
   * Returns the port that an open server listens on; if it was opened at port 0, the port that the
   * system chose.
   */
  public int port() {
    return listeningChannel
        .map(channel -> channel.getLocalAddress(InetSocketAddress.class).getPort())
        .orElseThrow();
  }

  /** Stops listening and closes all connections. */
  public void close() {
    listeningChannel.ifPresent(IoUtils::safeClose);
    ioThread.execute(
        () -> {
          clients.values().forEach(PeerClient::close);
          List.copyOf(acceptedConnections).forEach(IoUtils::safeClose);
        });
  }

  @Override
  public void send(String controllerName, PeerMessage message) {
    byte[] frame = PeerCodec.encode(message);
    PeerClient client = clients.get(controllerName);
    if (client != null) {
      ioThread.execute(() -> client.send(frame));
    }
  }

  @Override
  public void broadcast(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message);
    ioThread.execute(() -> clients.values().forEach(client -> client.send(frame)));
  }

  private void accept(AcceptingChannel<StreamConnection> channel) {
    try {
      StreamConnection connection = channel.accept();
      if (connection == null) {
        return;
      }
      if (acceptedConnections.size() >= maxConnections) {
        closeMostSilentConnection();
      }
      acceptedConnections.add(connection);
      connection.setCloseListener(closed -> acceptedConnections.remove(connection));
      ByteBuffer received = ByteBuffer.allocate(2 * PeerCodec.MAX_BODY_BYTES);
      connection.getSourceChannel().setReadListener(source -> read(connection, source, received));
      connection.getSourceChannel().resumeReads();
    } catch (IOException exception) {
      LOG.debug("peer connection not accepted", exception);
    }
  }

  /**
   * Makes room for a new connection. A peer that ends behind a cut leaves its connection open for
   * good, so a new connection is more likely to be in use than the one that has been silent for the
   * longest time. A peer whose connection is closed in error opens another one with its next
   * message.
   */
  private void closeMostSilentConnection() {
    StreamConnection mostSilent = acceptedConnections.iterator().next();
    LOG.debug("peer connection closed: reason=\"silent, and a new one was opened\"");
    acceptedConnections.remove(mostSilent);
    IoUtils.safeClose(mostSilent);
  }

  private void markActive(StreamConnection connection) {
    if (acceptedConnections.remove(connection)) {
      acceptedConnections.add(connection);
    }
  }

  private void read(
      StreamConnection connection, ConduitStreamSourceChannel source, ByteBuffer received) {
    try {
      while (true) {
        int bytesRead = source.read(received);
        if (bytesRead == 0) {
          return;
        }
        if (bytesRead < 0) {
          IoUtils.safeClose(connection);
          return;
        }
        markActive(connection);
        received.flip();
        handleFrames(received);
        received.compact();
      }
    } catch (PeerCodec.MalformedFrameException | IOException exception) {
      LOG.info("peer connection closed: reason=\"{}\"", exception.getMessage());
      IoUtils.safeClose(connection);
    }
  }

  private void handleFrames(ByteBuffer received) throws PeerCodec.MalformedFrameException {
    int bodyLength = PeerCodec.nextBodyLength(received);
    while (bodyLength >= 0) {
      PeerCodec.decodeNext(received, bodyLength).ifPresent(this::deliver);
      bodyLength = PeerCodec.nextBodyLength(received);
    }
  }

  private void deliver(PeerMessage message) {
    scheduler.execute(EventPriority.DECISION, () -> listener.accept(message));
  }
}
