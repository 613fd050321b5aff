package org.ploverspindle.cli;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.random.RandomGenerator;
import org.ploverspindle.cloud.HttpCloud;
import org.ploverspindle.front.UserApi;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.loop.EventLoop;
import org.ploverspindle.loop.Rank;
import org.ploverspindle.net.HttpCaller;
import org.ploverspindle.node.Controller;
import org.ploverspindle.peers.PeerRecord;
import org.ploverspindle.peers.PeerServer;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.HttpStateStore;
import org.ploverspindle.workers.HttpWorkerClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A controller with its threads and sockets: one loop for decisions, one I/O thread for the rest.
 */
final class Service {
  private static final int STATE_LINES = 6;
  private static final int CLOUD_LINES = 3;

  /** Sockets that listen, and those that are being closed. */
  private static final int SPARE = 10;

  private final EventLoop loop = new EventLoop();
  private final XnioWorker worker;
  private final Controller controller;
  private final UserApi door;
  private final PeerServer peers;

  Service(Settings settings, Policy policy, RandomGenerator random) throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "io")
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.WORKER_TASK_CORE_THREADS, 0)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    ByteBufferPool buffers = new DefaultByteBufferPool(true, 4096, 64, 2);
    peers = new PeerServer(loop, worker, settings.back(), settings.members(), this::heard);
    controller =
        new Controller(
            loop,
            new HttpStateStore(caller(buffers, settings.state().toString(), STATE_LINES)),
            new HttpCloud(caller(buffers, settings.cloud().toString(), CLOUD_LINES)),
            new HttpWorkerClient(
                address -> HttpCaller.once(loop, worker.getIoThread(), buffers, address)),
            peers,
            settings,
            policy,
            random);
    door =
        new UserApi(
            loop,
            worker,
            settings.front(),
            UserApi.Limits.of(
                settings.quota().maxConnections(),
                STATE_LINES + CLOUD_LINES + Leader.MOST_DIRECT + 3 * settings.nodes() + SPARE,
                settings.workers().reportS()),
            controller,
            controller::ready);
  }

  private HttpCaller caller(ByteBufferPool buffers, String address, int connections) {
    return new HttpCaller(loop, worker.getIoThread(), buffers, address, connections);
  }

  private void heard(PeerRecord record) {
    controller.heard(record);
  }

  void start() throws IOException {
    loop.start();
    door.open();
    peers.open();
    loop.execute(Rank.DECISION, controller::start);
  }

  void stop() {
    loop.execute(Rank.DECISION, controller::stop);
    door.close();
    peers.close();
    loop.close();
    worker.shutdownNow();
  }
}
