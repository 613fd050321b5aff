package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ploverspindle.cluster.WorkerCommand;

/** The messages with launches that a worker has executed, of which late copies may arrive. */
final class LateLaunchCopies {
  private record Message(
      boolean direct, long token, long epoch, List<WorkerCommand> commands, long sentMs) {}

  private final List<Message> messages = new ArrayList<>();

  /** Keeps the launches of a message that the worker accepted. */
  void record(boolean direct, long token, long epoch, List<WorkerCommand> commands, long sentMs) {
    List<WorkerCommand> launches =
        commands.stream().filter(command -> command instanceof WorkerCommand.Launch).toList();
    if (!launches.isEmpty()) {
      messages.add(new Message(direct, token, epoch, launches, sentMs));
    }
  }

  /**
   * Delivers a copy of each recorded message of this kind to its worker.
   *
   * @return how many the worker accepted
   */
  int deliverAll(SimWorker worker, boolean direct) {
    int accepted = 0;
    for (Message message : List.copyOf(messages)) {
      accepted += message.direct() == direct ? deliver(worker, message) : 0;
    }
    return accepted;
  }

  private static int deliver(SimWorker worker, Message message) {
    if (!worker.accepts(message.token(), message.epoch())) {
      return 0;
    }
    message.commands().forEach(command -> worker.execute(command, message.sentMs()));
    return 1;
  }

  /** Delivers a copy of one recorded message, drawn at random. */
  int deliverOne(SimWorker worker, boolean direct, Random random) {
    List<Message> candidates =
        messages.stream().filter(message -> message.direct() == direct).toList();
    if (candidates.isEmpty()) {
      return 0;
    }
    return deliver(worker, candidates.get(random.nextInt(candidates.size())));
  }
}
