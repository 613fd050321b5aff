package org.ploverspindle.cli;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.random.RandomGenerator;
import org.ploverspindle.api.ConnectionLimits;
import org.ploverspindle.api.UserApi;
import org.ploverspindle.cloud.HttpCloudClient;
import org.ploverspindle.cluster.HttpWorkerClient;
import org.ploverspindle.controller.Controller;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.net.UndertowHttpClient;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.PeerServer;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SocketBudget;
import org.ploverspindle.state.HttpStateStore;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A controller with its threads and sockets. One thread runs the event loop, and one I/O thread
 * serves all sockets.
 */
final class ControllerProcess {
  private static final int BUFFER_BYTES = 4_096;
  private static final int POOLED_BUFFERS = 64;
  private static final int BUFFERS_PER_THREAD = 2;

  private final EventLoop eventLoop = newEventLoop();
  private final XnioWorker xnioWorker;
  private final Controller controller;
  private final UserApi userApi;
  private final PeerServer peerServer;

  ControllerProcess(Settings settings, Policy policy, RandomGenerator random) throws IOException {
    xnioWorker = createXnioWorker();
    SocketBudget sockets = SocketBudget.of(settings);
    ByteBufferPool buffers =
        new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, BUFFERS_PER_THREAD);
    peerServer =
        new PeerServer(
            eventLoop,
            xnioWorker,
            settings.peerAddress(),
            settings.otherControllers(),
            this::handlePeerMessage);
    controller =
        new Controller(
            eventLoop,
            new Controller.Services(
                new HttpStateStore(
                    httpClient(buffers, settings.state().toString(), sockets.state())),
                new HttpCloudClient(
                    httpClient(buffers, settings.cloud().toString(), sockets.cloud())),
                new HttpWorkerClient(
                    address ->
                        UndertowHttpClient.nonPersistent(
                            eventLoop, xnioWorker.getIoThread(), buffers, address)),
                peerServer),
            settings,
            policy,
            random);
    userApi =
        new UserApi(
            eventLoop,
            xnioWorker,
            settings.userAddress(),
            ConnectionLimits.of(
                settings.quota().maxConnections(),
                sockets.total(),
                settings.workers().heartbeatIntervalS()),
            controller,
            controller::isReady);
  }

  /** Creates an event loop whose errors end the process, so that the platform restarts it. */
  static EventLoop newEventLoop() {
    return new EventLoop(ProcessTermination::haltAfter);
  }

  /** Creates the XNIO worker, whose only I/O thread owns all sockets. */
  private static XnioWorker createXnioWorker() throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_NAME, "io")
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 0)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  private UndertowHttpClient httpClient(ByteBufferPool buffers, String address, int connections) {
    return UndertowHttpClient.persistent(
        eventLoop, xnioWorker.getIoThread(), buffers, address, connections);
  }

  /**
   * Passes a message of another controller to this one. The peer server gets this method and not
   * the controller's, because it is created first: the controller's constructor needs it.
   */
  private void handlePeerMessage(PeerMessage message) {
    controller.handlePeerMessage(message);
  }

  /** Starts the event loop, opens the listening sockets and starts the controller. */
  void start() throws IOException {
    eventLoop.start();
    userApi.open();
    peerServer.open();
    eventLoop.execute(EventPriority.DECISION, controller::start);
  }

  /** Stops the controller, closes all sockets and ends the threads. */
  void stop() {
    eventLoop.execute(EventPriority.DECISION, controller::stop);
    userApi.close();
    peerServer.close();
    eventLoop.close();
    xnioWorker.shutdownNow();
  }
}
