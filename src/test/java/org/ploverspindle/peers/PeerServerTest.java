package org.ploverspindle.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.net.Socket;
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

/** Doors of controllers over real sockets on loopback. */
class PeerServerTest {
  private final EventLoop loop = new EventLoop();
  private final BlockingQueue<PeerMessage> heard = new LinkedBlockingQueue<>();
  private XnioWorker worker;
  private PeerServer hearing;
  private PeerServer telling;

  @BeforeEach
  void open() throws Exception {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    loop.start();
    Address any = new Address("127.0.0.1", 0);
    hearing = new PeerServer(loop, worker, any, List.of(), heard::add);
    hearing.open();
    Settings.Member to = new Settings.Member("n1", "a", new Address("127.0.0.1", hearing.port()));
    Settings.Member refuses = new Settings.Member("n2", "a", new Address("127.0.0.1", 1));
    telling = new PeerServer(loop, worker, any, List.of(to, refuses), r -> {});
  }

  @AfterEach
  void close() {
    telling.close();
    hearing.close();
    loop.close();
    worker.shutdownNow();
  }

  @Test
  void recordsArriveInOrderAlthoughAnotherPeerRefuses() throws Exception {
    PeerMessage first = new PeerMessage.Leading("n0", 5);
    PeerMessage second = new PeerMessage.StateChanged("n0");
    telling.broadcast(first);
    telling.send("n1", second);
    telling.send("nobody", second);
    assertEquals(first, heard.poll(20, TimeUnit.SECONDS));
    assertEquals(second, heard.poll(20, TimeUnit.SECONDS));
  }

  @Test
  void aConnectionWithSomethingElseIsEndedAndOthersGoOn() throws Exception {
    try (Socket stranger = new Socket("127.0.0.1", hearing.port())) {
      OutputStream out = stranger.getOutputStream();
      out.write("GET / HTTP/1.1\r\n\r\n".getBytes());
      assertEquals(-1, stranger.getInputStream().read());
    }
    PeerMessage record = new PeerMessage.Resigned("n0", 9);
    telling.send("n1", record);
    assertEquals(record, heard.poll(20, TimeUnit.SECONDS));
  }
}
