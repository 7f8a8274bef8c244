//! End-to-end tests with separate processes, which are killed, frozen and restarted.

#[path = "fakes/cluster.rs"]
mod cluster;

use std::net::TcpListener;

use cluster::{Cluster, job_body, send_http};

fn result_count(body: &str) -> usize {
    let value: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(value["outcome"], "complete", "{body}");
    value["results"].as_array().unwrap().len()
}

#[test]
fn jobs_and_requests_go_end_to_end_and_a_stop_cuts_nothing() {
    let mut cluster = Cluster::start(&[1.0, 2.0]);
    let before = cluster.sum_of_counts("starts");
    let first = cluster.submit(0, Some("a"), &job_body(64, 5)).unwrap();
    assert_eq!(result_count(&first.body), 64);
    let again = cluster.submit(1, Some("a"), &job_body(64, 5)).unwrap();
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.get(1, "/v1/jobs/a").unwrap().body, first.body);
    let other = cluster.submit(1, Some("a"), &job_body(63, 5)).unwrap();
    assert_eq!(other.status, 409);
    assert!(
        other.body.contains("\"outcome\":\"refused\""),
        "{}",
        other.body
    );
    assert_eq!(cluster.sum_of_counts("starts") - before, 64);

    let body = "x".repeat(200_000);
    for entry in 0..2 {
        let path = "/v1/services/proof/any/path?work_ms=1";
        let echo = send_http(cluster.callers[entry], "PUT", path, "", &body).unwrap();
        assert_eq!((echo.status, echo.body.len()), (200, body.len()));
    }

    // A job runs while its entry and an agent are asked to stop.
    std::thread::scope(|scope| {
        let cluster = &cluster;
        let pending_job = scope.spawn(move || cluster.submit(0, None, &job_body(24, 100)).unwrap());
        let before = cluster.sum_of_counts("starts");
        cluster.wait_until("the job has started", |s| {
            s.sum_of_counts("starts") > before
        });
        cluster.signal("entry-0", "-TERM");
        cluster.signal("agent-0", "-TERM");
        assert_eq!(result_count(&pending_job.join().unwrap().body), 24);
    });
    assert_eq!(cluster.wait_for_exit("entry-0"), Some(0));
    assert_eq!(cluster.wait_for_exit("agent-0"), Some(0));
    assert_eq!(
        result_count(&cluster.submit(1, None, &job_body(8, 5)).unwrap().body),
        8
    );
    assert_eq!(cluster.sum_of_counts("duplicates"), 0);
}

/// Guards against a task whose payload is longer than an agent's link carried: the link broke, and
/// broke again whenever the entry asked about the task.
#[test]
fn a_task_with_a_payload_of_four_megabytes_runs_once() {
    // With the other fields of its message it has more than 4 MiB; the result may have 4 MiB.
    let len = 4 << 20;
    let cluster = Cluster::start(&[1.0]);
    let before = cluster.sum_of_counts("starts");
    let work = r#"{\"work_ms\":5}"#;
    // Two of its characters are escapes.
    let payload = work.to_owned() + &" ".repeat(len + 2 - work.len());
    let body = format!(r#"{{"service":"proof","tasks":[{{"payload":"{payload}"}}]}}"#);
    let answer = cluster.submit(0, None, &body).unwrap();
    assert_eq!(result_count(&answer.body), 1);
    assert_eq!(cluster.sum_of_counts("starts") - before, 1);
    assert_eq!(cluster.sum_of_counts("duplicates"), 0);
}

#[test]
fn bad_input_gets_a_problem_and_takes_nothing_down() {
    let cluster = Cluster::start(&[1.0]);
    let refused = |body: &str, status: u16| {
        let answer = cluster.submit(0, None, body).unwrap();
        assert_eq!(answer.status, status, "{body}: {}", answer.body);
        assert!(
            answer.body.contains("\"outcome\":\"refused\""),
            "{}",
            answer.body
        );
    };
    refused("{\"service\":", 400);
    refused("[]", 400);
    refused(r#"{"service":"a/b","tasks":[{"payload":""}]}"#, 400);
    refused(r#"{"service":"proof","tasks":[]}"#, 400);
    refused(
        r#"{"service":"proof","tasks":[{"payload":"","cores":0}]}"#,
        400,
    );
    refused(
        r#"{"service":"proof","tasks":[{"payload":"","surprise":1}]}"#,
        400,
    );
    refused(&job_body(641, 1), 413);
    let long = "k".repeat(65);
    let port = cluster.callers[0];
    for header in [
        format!("idempotency-key: {long}"),
        "fulmardrift-team: a b".to_owned(),
    ] {
        let headers = format!("{header}\r\n");
        let answer = send_http(port, "POST", "/v1/jobs", &headers, &job_body(1, 1)).unwrap();
        assert_eq!(answer.status, 400, "{}", answer.body);
    }
    assert_eq!(
        send_http(port, "GET", "/v1/jobs/none", "", "")
            .unwrap()
            .status,
        404
    );
    assert_eq!(
        send_http(port, "GET", "/elsewhere", "", "").unwrap().status,
        404
    );
    assert_eq!(cluster.get(0, "/health").unwrap().status, 200);

    let hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    let set = [
        "settings",
        "set",
        "--key",
        "teams.desk.token_sha256",
        "--value",
        hash,
        "--wait",
    ];
    assert!(cluster.run_tool(&set).status.success());
    let submit_with = |headers: &str| {
        send_http(port, "POST", "/v1/jobs", headers, &job_body(1, 1))
            .unwrap()
            .status
    };
    assert_eq!(submit_with("fulmardrift-team: nobody\r\n"), 403);
    assert_eq!(submit_with("fulmardrift-team: desk\r\n"), 401);
    assert_eq!(
        submit_with("fulmardrift-team: desk\r\nauthorization: Bearer tset\r\n"),
        401
    );
    assert_eq!(
        submit_with("fulmardrift-team: desk\r\nauthorization: Bearer test\r\n"),
        200
    );
}

#[test]
fn control_leaders_are_killed_and_all_restarted_and_nothing_is_lost() {
    let mut cluster = Cluster::start(&[1.0, 2.0]);
    std::thread::scope(|scope| {
        let leader = cluster.leader();
        let pending_job = {
            let cluster = &cluster;
            scope.spawn(move || cluster.submit(0, Some("a"), &job_body(16, 100)).unwrap())
        };
        let before = cluster.sum_of_counts("starts");
        cluster.wait_until("the job has started", |s| {
            s.sum_of_counts("starts") > before
        });
        cluster.signal(&leader, "-KILL");
        assert_eq!(result_count(&pending_job.join().unwrap().body), 16);
    });
    // With two of three control instances, changes and claims are still accepted.
    let set = [
        "settings",
        "set",
        "--path",
        "r1",
        "--key",
        "max_tasks",
        "--value",
        "77",
        "--wait",
    ];
    assert!(cluster.run_tool(&set).status.success());
    assert_eq!(
        result_count(&cluster.submit(1, Some("b"), &job_body(4, 5)).unwrap().body),
        4
    );
    for id in 1..=3 {
        cluster.kill(&format!("control-{id}"));
    }
    for id in 1..=3 {
        cluster.spawn(&format!("control-{id}"));
    }
    let get = ["settings", "get", "--path", "r1/dc1", "--key", "max_tasks"];
    cluster.wait_until("the setting is there", |s| {
        let found = s.run_tool(&get);
        String::from_utf8_lossy(&found.stdout).trim() == "77 (from r1)"
    });
    assert_eq!(
        cluster.submit(0, None, &job_body(78, 1)).unwrap().status,
        413
    );
    let again = cluster.submit(0, Some("b"), &job_body(4, 5)).unwrap();
    assert_eq!(
        result_count(&again.body),
        4,
        "the claim outlived the restart"
    );
    assert_eq!(cluster.sum_of_counts("duplicates"), 0);
}

#[test]
fn an_entry_frozen_with_a_job_under_way_is_taken_over() {
    let cluster = Cluster::start(&[1.0, 1.0]);
    let before = cluster.sum_of_counts("starts");
    std::thread::scope(|scope| {
        let cluster = &cluster;
        let first = scope.spawn(move || cluster.submit(0, Some("a"), &job_body(24, 300)));
        cluster.wait_until("the job has started", |s| {
            s.sum_of_counts("starts") > before
        });
        cluster.signal("entry-0", "-STOP");
        let second = cluster.submit(1, Some("a"), &job_body(24, 300)).unwrap();
        assert_eq!(result_count(&second.body), 24);
        cluster.signal("entry-0", "-CONT");
        // After it resumes the entry has nothing to start; its own caller gets the same answer.
        let first = first.join().unwrap().unwrap();
        assert_eq!(first.body, second.body);
    });
    assert_eq!(cluster.sum_of_counts("starts") - before, 24);
}

#[test]
fn a_data_centre_goes_out_and_comes_back_by_the_tool() {
    let cluster = Cluster::start(&[1.0, 1.0]);
    let out = cluster.run_tool(&["data-centre", "out", "r1/dc1", "--wait", "--yes"]);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(text.contains("in force everywhere"), "{text}");
    let closed = cluster.servers[1];
    send_http(closed, "PUT", "/closed", "", "").unwrap();
    assert_eq!(
        result_count(&cluster.submit(0, None, &job_body(32, 5)).unwrap().body),
        32
    );
    assert_eq!(cluster.sum_of_counts("late"), 0);
    let list = cluster.run_tool(&["data-centre", "list"]);
    let list = String::from_utf8_lossy(&list.stdout).into_owned();
    let row = list.lines().find(|l| l.contains("r1/dc1")).unwrap();
    assert!(row.contains("out"), "{list}");
    send_http(closed, "DELETE", "/closed", "", "").unwrap();
    assert!(
        cluster
            .run_tool(&["data-centre", "in", "r1/dc1", "--wait"])
            .status
            .success()
    );
    let counts = |port| send_http(port, "GET", "/counts", "", "").unwrap().body;
    let before = counts(closed);
    cluster.wait_until("tasks run there again", |s| {
        s.submit(0, None, &job_body(32, 5)).unwrap();
        counts(closed) != before
    });

    // Without --yes and without a terminal nothing is taken out.
    let unconfirmed = cluster.run_tool(&["data-centre", "out", "r1/dc1"]);
    assert_eq!(unconfirmed.status.code(), Some(1));
    let bad = [
        "settings",
        "set",
        "--path",
        "r1",
        "--key",
        "max_tasks",
        "--value",
        "0",
    ];
    assert_eq!(cluster.run_tool(&bad).status.code(), Some(3));
    let outdated = [
        "settings",
        "set",
        "--path",
        "r1",
        "--key",
        "max_tasks",
        "--value",
        "9",
        "--expect",
        "1",
    ];
    assert_eq!(cluster.run_tool(&outdated).status.code(), Some(3));
    assert_eq!(
        cluster.run_tool(&["settings", "fly"]).status.code(),
        Some(2)
    );
    let audit = cluster.run_tool(&["audit", "--by", "ana", "--json"]);
    let rows: serde_json::Value = serde_json::from_slice(&audit.stdout).unwrap();
    let rows = rows.as_array().unwrap();
    assert_eq!(rows.len(), 4, "out, in and two refused: {rows:?}");
    assert!(
        rows[3]["refused"]
            .as_str()
            .unwrap()
            .contains("revision is 2")
    );
}

#[test]
fn the_status_and_the_metrics_show_how_far_each_control_instance_has_the_log() {
    let mut cluster = Cluster::start(&[1.0]);
    let followers = |c: &Cluster| -> Vec<serde_json::Value> {
        let status = c.run_tool(&["status", "--json"]);
        let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
        status["followers"].as_array().unwrap().clone()
    };
    let all_caught_up = |c: &Cluster| {
        let rows = followers(c);
        rows.len() == 2
            && rows
                .iter()
                .all(|f| f["caught_up"] == true && f["voter"] == true)
    };
    cluster.wait_until("both have caught up", all_caught_up);
    let table = cluster.run_tool(&["status"]);
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert_eq!(table.matches("caught up").count(), 2, "{table}");

    let leader = cluster.leader();
    let lost = if leader == "control-1" { 2 } else { 1 };
    let name = format!("control-{lost}");
    let disk_of = |c: &Cluster| {
        let row = followers(c).into_iter().find(|f| f["id"] == lost);
        row.map(|f| f["disk"].clone())
    };
    let old_disk = disk_of(&cluster);
    cluster.kill(&name);
    std::fs::remove_dir_all(cluster.folder.path().join(format!("{name}.data"))).unwrap();
    cluster.spawn(&name);
    cluster.wait_until("the new disk has caught up", |c| {
        all_caught_up(c) && disk_of(c) != old_disk
    });
    let report = format!("E316 caught-up replica={lost} voter=false");
    cluster.wait_until("the report", |c| c.log_text(&leader).contains(&report));

    let at: usize = leader.trim_start_matches("control-").parse().unwrap();
    cluster.wait_until("the metrics", |c| {
        let metrics = send_http(c.admin[at - 1], "GET", "/metrics", "", "").unwrap();
        let sent = format!("fulmardrift_follower_sent_bytes{{replica=\"{lost}\"}}");
        let missing = format!("fulmardrift_follower_missing_bytes{{replica=\"{lost}\"}} 0");
        metrics.body.contains(&sent)
            && metrics.body.contains(&missing)
            && metrics.body.contains("fulmardrift_log_bytes ")
    });
}

/// Guards against a process that ends at its start since another one holds its address for a moment.
#[test]
fn a_process_waits_for_an_address_that_another_one_holds() {
    let mut cluster = Cluster::start(&[1.0]);
    cluster.kill("entry-0");
    let held = TcpListener::bind(("127.0.0.1", cluster.callers[0])).unwrap();
    cluster.spawn("entry-0");
    cluster.wait_until("the address is found held", |c| {
        c.log_text("entry-0").contains("E106 address-held")
    });
    drop(held);
    cluster.wait_until("the entry serves", |c| {
        let job = r#"{"service":"proof","tasks":[{"payload":"x"}]}"#;
        c.submit(0, None, job).is_some_and(|a| a.status == 200)
    });
}
