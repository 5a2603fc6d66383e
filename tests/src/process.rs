//! Processes of the workspace's programs, with their output captured.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

use crate::WAIT_TIMEOUT;

/// A running process, which is killed on drop.
pub struct Process {
    /// The child process.
    child: Child,
    /// The output lines read so far.
    log: Arc<Mutex<Vec<String>>>,
    /// Output lines as they arrive.
    lines: mpsc::Receiver<String>,
}

/// Returns the path of one of the workspace's programs.
pub fn bin(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("the path of the test executable is known");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    let bin = path.join(name);
    assert!(bin.exists(), "{} is not built; run `cargo build --workspace`", bin.display());
    bin
}

impl Process {
    /// Starts a program and reads its standard error if `reads_stderr` is set, its standard output otherwise.
    pub fn start(name: &str, args: &[&str], reads_stderr: bool) -> Process {
        let mut command = Command::new(bin(name));
        command.args(args);
        Process::spawn(command, reads_stderr)
    }

    /// Starts a program that may open so many descriptors, and reads its standard output.
    pub fn start_with_descriptors(name: &str, args: &[&str], limit: u32) -> Process {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
        command.args(["-c", &script]).arg(bin(name)).args(args);
        Process::spawn(command, false)
    }

    /// Starts a command and reads its standard error if `reads_stderr` is set, its standard output otherwise.
    fn spawn(mut command: Command, reads_stderr: bool) -> Process {
        command.stdin(Stdio::null());
        if reads_stderr {
            command.stderr(Stdio::piped()).stdout(Stdio::null());
        } else {
            command.stdout(Stdio::piped());
        }
        let mut child = command.spawn().expect("the program starts");
        let output: Box<dyn Read + Send> = if reads_stderr {
            Box::new(child.stderr.take().expect("standard error is piped"))
        } else {
            Box::new(child.stdout.take().expect("standard output is piped"))
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, lines) = mpsc::channel();
        let shared_log = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                shared_log
                    .lock()
                    .expect("no thread panics while it holds the log")
                    .push(line.clone());
                let _ = sender.send(line);
            }
        });
        Process { child, log, lines }
    }

    /// Waits for a line that contains the text and returns what follows it, without trailing dots.
    pub fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(WAIT_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no line with `{text}` in {:?}", self.log()));
            if let Some((_, rest)) = line.split_once(text) {
                return rest.trim_end_matches('.').to_owned();
            }
        }
    }

    /// Returns the output lines read so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("no thread panics while it holds the log").clone()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Sends SIGSTOP and returns once all threads of the process are stopped.
    ///
    /// Each thread handles the signal when it next runs. On a busy machine that can be after the
    /// process has read data sent to it later, so sending the signal alone isn't enough.
    pub async fn pause(&self) {
        self.signal(Signal::STOP);
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOWAIT | WaitIdOptions::NOHANG;
        let pid = Pid::from_child(&self.child);
        while waitid(WaitId::Pid(pid), options).is_ok_and(|status| status.is_none()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the largest resident memory that the process has had, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
        kb.expect("the status names the peak") * 1_024.0 / 1e6
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code if the process has exited; the inner value is `None` after a signal.
    pub fn try_exit_code(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().ok().flatten().map(|status| status.code())
    }

    /// Waits for the process to exit and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let mut code = self.try_exit_code();
        while code.is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
            code = self.try_exit_code();
        }
        code.flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for line in self.log().iter().rev().take(20).rev() {
                eprintln!("[{}] {line}", self.child.id());
            }
        }
        self.kill();
    }
}
