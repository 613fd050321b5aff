package org.ploverspindle.api;

/**
 * A job as the replica shows it.
 *
 * @param completedTasks of which that is durable
 * @param runningTasks 0 once the job is done or aborted
 */
record JobState(String uid, JobStatus status, int completedTasks, int runningTasks) {}
