/* calls.cc -- the HTTP client of calls.c, against a server on loopback that
   answers, does not answer, or closes the connection within the response */
#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "calls.h"
#include "loop.h"
}

#ifdef GL_TEST_FAULTS
extern "C"
{
#include "fault.h"
  fault_t fault_on = FAULT_NONE;
}
#endif

/* The server.  The path of a request says how it is answered:
   /slow      after 60 ms
   /silent    not at all
   /trickles  10000 bytes, 1000 every 50 ms
   /stalls    the first 3000 of 10000 bytes, 1000 every 50 ms
   /breaks    2 of 50 bytes, then the connection is closed
   otherwise  at once, with the body of the request */
struct Server
{
  int listener;
  int port;
  std::atomic<int> connections{ 0 }; /* accepted so far */
  std::atomic<int> requests{ 0 };    /* received so far */
  std::atomic<int> max_open{ 0 };    /* most requests at the same time */
  std::atomic<int> open_now{ 0 };    /* requests at present */
  std::vector<std::thread> threads;
  std::vector<int> fds;
  std::mutex lock;
  std::thread acceptor;

  Server ()
  {
    sockaddr_in a{};
    socklen_t len = sizeof a;

    listener = socket (AF_INET, SOCK_STREAM, 0);
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    bind (listener, (sockaddr *)&a, sizeof a);
    listen (listener, 64);
    getsockname (listener, (sockaddr *)&a, &len);
    port = ntohs (a.sin_port);
    acceptor = std::thread ([this] { accept_all (); });
  }

  ~Server ()
  {
    shutdown (listener, SHUT_RDWR);
    acceptor.join ();
    close (listener);
    {
      std::lock_guard<std::mutex> g (lock);
      for (int fd : fds)
        shutdown (fd, SHUT_RDWR);
    }
    for (auto &t : threads)
      t.join ();
    for (int fd : fds)
      close (fd);
  }

  void
  accept_all ()
  {
    int fd;

    while ((fd = accept (listener, nullptr, nullptr)) >= 0)
      {
        std::lock_guard<std::mutex> g (lock);
        connections++;
        fds.push_back (fd);
        threads.emplace_back ([this, fd] { serve (fd); });
      }
  }

  void
  serve (int fd)
  {
    std::string in;
    char buf[4096];
    ssize_t n;

    while ((n = read (fd, buf, sizeof buf)) > 0)
      {
        in.append (buf, (size_t)n);
        size_t head = in.find ("\r\n\r\n");
        if (head == std::string::npos)
          continue;
        size_t at = in.find ("Content-Length: ");
        size_t body
            = at == std::string::npos ? 0 : std::stoul (in.substr (at + 16));
        if (in.size () < head + 4 + body)
          continue;
        if (!answer (fd, in.substr (0, in.find ("\r\n")),
                     in.substr (head + 4, body)))
          return;
        in.erase (0, head + 4 + body);
      }
  }

  /* False when the connection is closed. */
  bool
  answer (int fd, const std::string &line, const std::string &body)
  {
    int open = ++open_now;
    bool keep_open = true;

    requests++;
    if (open > max_open)
      max_open = open;
    if (line.find ("/slow") != std::string::npos)
      std::this_thread::sleep_for (std::chrono::milliseconds (60));
    if (line.find ("/silent") != std::string::npos)
      keep_open = true;
    else if (line.find ("/trickles") != std::string::npos
             || line.find ("/stalls") != std::string::npos)
      {
        int parts = line.find ("/stalls") != std::string::npos ? 3 : 10;
        std::string part (1000, 'a');
        std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n";

        send (fd, head.data (), head.size (), MSG_NOSIGNAL);
        for (int i = 0; i < parts; i++)
          {
            send (fd, part.data (), part.size (), MSG_NOSIGNAL);
            std::this_thread::sleep_for (std::chrono::milliseconds (50));
          }
      }
    else if (line.find ("/breaks") != std::string::npos)
      {
        send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nab", 42, 0);
        shutdown (fd, SHUT_RDWR);
        keep_open = false;
      }
    else
      {
        std::string text = "HTTP/1.1 200 OK\r\nContent-Length: "
                           + std::to_string (body.size ()) + "\r\n\r\n" + body;
        if (send (fd, text.data (), text.size (), MSG_NOSIGNAL) < 0)
          keep_open = false;
      }
    open_now--;
    return keep_open;
  }
};

struct Calls : testing::Test
{
  Server server;
  calls_t *client = calls_new (3);
  std::mutex lock;
  std::condition_variable more;
  std::vector<httpc_result_t> results;
  std::vector<std::string> bodies;

  ~Calls () override { calls_free (client); }

  static void
  done (void *ctx, httpc_result_t *res)
  {
    Calls *c = (Calls *)ctx;
    std::lock_guard<std::mutex> g (c->lock);

    c->bodies.push_back (res->body ? std::string (res->body, res->len) : "");
    c->results.push_back (*res);
    c->more.notify_all ();
  }

  void
  send (const char *path, const std::string &body, gl_ms_t timeout = 2000,
        int port = 0, gl_ms_t not_before = 0)
  {
    httpc_request_t r{};
    std::string addr
        = "127.0.0.1:" + std::to_string (port ? port : server.port);

    r.method = "POST";
    r.body = body.data ();
    r.len = body.size ();
    r.timeout = timeout;
    r.not_before = not_before;
    r.done = done;
    r.ctx = this;
    ASSERT_EQ (0, calls_send (client, addr.c_str (), path, &r));
  }

  void
  wait (size_t n)
  {
    std::unique_lock<std::mutex> g (lock);

    ASSERT_TRUE (more.wait_for (g, std::chrono::seconds (10),
                                [&] { return results.size () >= n; }));
  }
};

TEST_F (Calls, ReturnTheCompleteResponseAndReuseTheConnection)
{
  for (size_t i = 1; i <= 20; i++)
    {
      send ("/echo", "text " + std::to_string (i));
      wait (i);
      EXPECT_EQ (HTTPC_COMPLETE, results.back ().outcome);
      EXPECT_EQ (200, results.back ().status);
      EXPECT_EQ ("text " + std::to_string (i), bodies.back ());
    }
  EXPECT_EQ (1, server.connections);
}

TEST_F (Calls, ToOneHostShareAtMostThreeConnections)
{
  for (int i = 0; i < 30; i++)
    send ("/slow", "x");
  wait (30);
  EXPECT_EQ (3, server.max_open);
  EXPECT_EQ (3, server.connections);
  EXPECT_EQ (30, server.requests);
}

TEST_F (Calls, WithoutResponseAreUnknownAndAreNotSentAgain)
{
  send ("/silent", "x", 80);
  wait (1);
  EXPECT_EQ (HTTPC_UNKNOWN, results[0].outcome);
  EXPECT_TRUE (results[0].timed_out);
  send ("/breaks", "x");
  wait (2);
  EXPECT_EQ (HTTPC_UNKNOWN, results[1].outcome);
  EXPECT_FALSE (results[1].timed_out);
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  EXPECT_EQ (2, server.requests);
}

/* A large configuration on a slow link: the timeout starts again while the
   response is arriving, but not once it has stalled. */
TEST_F (Calls, AreExtendedWhileTheirResponseArrives)
{
  send ("/trickles", "x", 120);
  wait (1);
  EXPECT_EQ (HTTPC_COMPLETE, results[0].outcome);
  EXPECT_EQ (10000u, results[0].len);
  send ("/stalls", "x", 120);
  wait (2);
  EXPECT_EQ (HTTPC_UNKNOWN, results[1].outcome);
  EXPECT_TRUE (results[1].timed_out);
}

TEST_F (Calls, ThatWereNeverSentAreReportedAsNotSent)
{
  int closed;
  {
    Server gone;
    closed = gone.port;
  }
  send ("/echo", "x", 2000, closed);
  wait (1);
  EXPECT_EQ (HTTPC_NOT_SENT, results[0].outcome);
  /* The fourth call waits for a connection until its timeout expires. */
  for (int i = 0; i < 3; i++)
    send ("/silent", "x", 400);
  std::this_thread::sleep_for (std::chrono::milliseconds (50));
  send ("/echo", "x", 80);
  wait (2);
  EXPECT_EQ (HTTPC_NOT_SENT, results[1].outcome);
  EXPECT_TRUE (results[1].timed_out);
  EXPECT_EQ (3, server.requests);
  wait (5);
}

TEST_F (Calls, AreNotSentBeforeNotBefore)
{
  gl_ms_t at = clock_ms () + 150;

  send ("/echo", "x", 2000, 0, at);
  wait (1);
  EXPECT_GE (clock_ms (), at);
  EXPECT_EQ (HTTPC_COMPLETE, results[0].outcome);
}

TEST_F (Calls, UseNewConnectionsAfterARetirement)
{
  send ("/echo", "x");
  wait (1);
  calls_retire_conns (client);
  send ("/echo", "x");
  wait (2);
  EXPECT_EQ (HTTPC_COMPLETE, results[1].outcome);
  EXPECT_EQ (2, server.connections);
}

TEST_F (Calls, AreEndedWithTheClient)
{
  send ("/silent", "x", 60000);
  send ("/echo", "x", 60000, 0, clock_ms () + 60000);
  std::this_thread::sleep_for (std::chrono::milliseconds (50));
  calls_free (client);
  client = nullptr;
  EXPECT_EQ (2u, results.size ());
}
