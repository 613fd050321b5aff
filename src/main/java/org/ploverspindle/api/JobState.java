package org.ploverspindle.api;

/**
 * A job's status and its numbers of tasks as the replica shows them.
 *
 * @param completedTasks number of tasks whose completion is durable
 * @param runningTasks number of running tasks; 0 once the job is done or aborted
 */
record JobState(String uid, JobStatus status, int completedTasks, int runningTasks) {}
