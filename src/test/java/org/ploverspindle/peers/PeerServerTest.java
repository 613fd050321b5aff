package org.ploverspindle.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.settings.Address;
import org.ploverspindle.settings.Settings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Peer servers over real sockets on loopback. Guards against a peer that refuses connections, or
 * sends malformed bytes, disturbing the messages between the other controllers, and against a
 * controller that refuses its peers for good after some of them ended behind a cut.
 */
class PeerServerTest {
  private final EventLoop eventLoop = new EventLoop();
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private XnioWorker worker;
  private PeerServer receiver;
  private PeerServer sender;

  @BeforeEach
  void open() throws Exception {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    eventLoop.start();
    Address anyPort = new Address("127.0.0.1", 0);
    Settings.OtherController peer = new Settings.OtherController("n0", "a", anyPort);
    receiver = new PeerServer(eventLoop, worker, anyPort, List.of(peer), received::add);
    receiver.open();
    Settings.OtherController listening =
        new Settings.OtherController("n1", "a", new Address("127.0.0.1", receiver.port()));
    Settings.OtherController refusing =
        new Settings.OtherController("n2", "a", new Address("127.0.0.1", 1));
    sender =
        new PeerServer(eventLoop, worker, anyPort, List.of(listening, refusing), message -> {});
  }

  @AfterEach
  void close() {
    sender.close();
    receiver.close();
    eventLoop.close();
    worker.shutdownNow();
  }

  @Test
  void messagesArriveInOrderWhileAnotherPeerRefusesConnections() throws Exception {
    PeerMessage first = new PeerMessage.Leading("n0", 5);
    PeerMessage second = new PeerMessage.StateChanged("n0");
    sender.broadcast(first);
    sender.send("n1", second);
    sender.send("nobody", second);
    assertEquals(first, received.poll(20, TimeUnit.SECONDS));
    assertEquals(second, received.poll(20, TimeUnit.SECONDS));
  }

  @Test
  void connectionWithMalformedBytesIsClosedAndOthersStillDeliver() throws Exception {
    try (Socket socket = new Socket("127.0.0.1", receiver.port())) {
      OutputStream out = socket.getOutputStream();
      out.write("GET / HTTP/1.1\r\n\r\n".getBytes());
      assertEquals(-1, socket.getInputStream().read());
    }
    PeerMessage message = new PeerMessage.Resigned("n0", 9);
    sender.send("n1", message);
    assertEquals(message, received.poll(20, TimeUnit.SECONDS));
  }

  /** Guards against connections of crashed peers, which nothing ends, that use up the limit. */
  @Test
  void connectionsThatNeverEndDoNotKeepOutNewOnes() throws Exception {
    List<Socket> leftByCrashedPeers = new ArrayList<>();
    try {
      for (int i = 0; i < 8; i++) {
        leftByCrashedPeers.add(new Socket("127.0.0.1", receiver.port()));
      }
      for (int i = 0; i < 3; i++) {
        PeerMessage message = new PeerMessage.Resigned("n0", i);
        sender.send("n1", message);
        assertEquals(message, received.poll(20, TimeUnit.SECONDS));
        leftByCrashedPeers.add(new Socket("127.0.0.1", receiver.port()));
      }
    } finally {
      for (Socket socket : leftByCrashedPeers) {
        socket.close();
      }
    }
  }
}
