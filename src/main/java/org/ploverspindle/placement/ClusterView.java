package org.ploverspindle.placement;

import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;

/**
 * The leader's view of the cluster on which placement bases its decisions: machine types, machines,
 * jobs and teams.
 */
public record ClusterView(
    Catalogue catalogue, MachineRegistry fleet, JobTable jobs, TeamUsage teams) {}
