/**
 * The leader's view of the cluster during one term: jobs, machines, and the placements of tasks on
 * them.
 *
 * <p>Duty: the tables of jobs and machines, each team's resource use, the handling of heartbeats
 * and the commands that answer them, the decision that a placement is proven gone, and the
 * detection of broken machines.
 *
 * <p>Owns: {@link org.ploverspindle.cluster.JobTable JobTable}, {@link
 * org.ploverspindle.cluster.MachineRegistry MachineRegistry}, and the wire names of heartbeats and
 * commands ({@link org.ploverspindle.cluster.HeartbeatCodec HeartbeatCodec}). Only {@link
 * org.ploverspindle.cluster.HeartbeatHandler HeartbeatHandler} and {@link
 * org.ploverspindle.cluster.DirectCommands DirectCommands} let a launch out; only {@code
 * MachineRegistry} removes a placement. The parts of a job and of a machine, and what marks a
 * placement as sent, are visible in this package alone.
 *
 * <p>May depend on: {@code model}, {@code state}, {@code net}, {@code settings}.
 */
package org.ploverspindle.cluster;
