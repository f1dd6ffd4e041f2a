/*
 * crowd.h -- crowds of clients that hold requests open, for tests
 *
 * Each client of a crowd connects, sends the same bytes as far as the server
 * takes them, and keeps its connection open until the crowd is destroyed.
 * Nothing here depends on how fast the server is, but that a crowd counts as
 * settled once no client has made progress for a while.
 */
#ifndef GL_CROWD_H
#define GL_CROWD_H

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <vector>

/* A crowd is settled once nothing was sent or received for so long. */
#define CROWD_QUIET_MS 1500

/* The kinds of crowds. */
inline const std::vector<std::string> &
crowd_kinds ()
{
  static const std::vector<std::string> kinds{
    "announced",     /* an announced body that stops short of its end */
    "chunks",        /* large chunks, short of the end */
    "tiny-chunks",   /* chunks of one byte, short of the end */
    "over",          /* sends 16 times the limit of an announced 1,000 times */
    "over-chunks",   /* sends 16 times the limit in chunks */
    "headers",       /* announces 10^14 bytes and sends none */
    "legal-headers", /* announces a body of legal size and sends none */
    "part",          /* a part of a header */
    "silent",        /* sends nothing */
    "whole",         /* whole bodies that take much memory when parsed */
    "unread",        /* sends GETs and reads no answers */
  };
  return kinds;
}

/* What a client of the kind sends to @path of a server with bodies of up to
   @limit bytes; @get is the path of GETs. */
inline std::string
crowd_stream (const std::string &kind, const std::string &path, size_t limit,
              const std::string &get)
{
  std::string post = "POST " + path + " HTTP/1.1\r\nHost: queue.example\r\n";
  std::string s;
  auto length = [&] (unsigned long long n) {
    return post + "Content-Length: " + std::to_string (n) + "\r\n\r\n";
  };
  auto chunks = [&] (size_t chunk, size_t total) {
    char size[32];
    std::string one;

    snprintf (size, sizeof size, "%zx\r\n", chunk);
    one = size + std::string (chunk, 'x') + "\r\n";
    s = post + "Transfer-Encoding: chunked\r\n\r\n";
    for (size_t sent = 0; sent + chunk <= total; sent += chunk)
      s += one;
    return s;
  };

  if (kind == "announced")
    return length (limit) + std::string (limit - limit / 1000 - 1, 'x');
  if (kind == "whole")
    {
      std::string body = "{\"steps\":[[]";

      while (body.size () + 5 <= limit)
        body += ",[]";
      return length (body.size () + 2) + body + "]}";
    }
  if (kind == "chunks")
    return chunks (limit / 8, limit / 8 * 7);
  if (kind == "tiny-chunks")
    return chunks (1, limit / 8 * 3);
  if (kind == "over")
    return length (limit * 1000ull) + std::string (limit * 16, 'x');
  if (kind == "over-chunks")
    return chunks (limit / 8, limit * 16);
  if (kind == "headers")
    return length (100000000000000ull);
  if (kind == "legal-headers")
    return length (limit);
  if (kind == "part")
    return post;
  for (int i = 0; kind == "unread" && i < 2000; i++)
    s += "GET " + get + " HTTP/1.1\r\nHost: queue.example\r\n\r\n";
  return s;
}

/* A connection to "IP:port" of the loopback; -1 if there is none. */
inline int
crowd_connect (const std::string &addr, int receive_buffer)
{
  struct sockaddr_in sa
  {
  };
  size_t colon = addr.rfind (':');
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_family = AF_INET;
  sa.sin_port = htons ((uint16_t)atoi (addr.c_str () + colon + 1));
  inet_pton (AF_INET, addr.substr (0, colon).c_str (), &sa.sin_addr);
  if (receive_buffer)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  /* Non-blocking, since a server may leave connections in its backlog. */
  fcntl (fd, F_SETFL, O_NONBLOCK);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&sa, sizeof sa)
      && errno != EINPROGRESS)
    {
      close (fd);
      fd = -1;
    }
  return fd;
}

class Crowd
{
public:
  /* @reads: the clients read what the server sends */
  Crowd (const std::string &addr, int clients, std::string stream,
         bool reads = true)
      : stream_ (std::move (stream)), reads_ (reads)
  {
    for (int i = 0; i < clients; i++)
      {
        int fd = crowd_connect (addr, reads ? 0 : 2048);

        if (fd >= 0)
          clients_.push_back ({ fd, 0, "", false });
        /* Shorter than the backlog of any server here. */
        if (i % 32 == 31)
          usleep (20000);
      }
  }
  ~Crowd ()
  {
    for (auto &c : clients_)
      if (c.fd >= 0)
        close (c.fd);
  }
  Crowd (const Crowd &) = delete;
  Crowd &operator= (const Crowd &) = delete;

  /* Send until nothing has moved for CROWD_QUIET_MS. */
  void
  settle ()
  {
    while (step (CROWD_QUIET_MS))
      ;
  }
  /* How many connections the server has not closed. */
  size_t
  open () const
  {
    size_t n = 0;

    for (const auto &c : clients_)
      n += c.fd >= 0;
    return n;
  }
  /* Bytes that the server's side has taken. */
  unsigned long long
  sent () const
  {
    unsigned long long n = 0;

    for (const auto &c : clients_)
      n += c.sent;
    return n;
  }
  /* How many clients have received something. */
  size_t
  answered () const
  {
    size_t n = 0;

    for (const auto &c : clients_)
      n += !c.got.empty ();
    return n;
  }
  /* How many clients got a first answer of each status; 0: none. */
  std::map<int, int>
  statuses () const
  {
    std::map<int, int> n;

    for (const auto &c : clients_)
      n[c.got.size () > 12 ? atoi (c.got.c_str () + 9) : 0]++;
    return n;
  }

private:
  struct client
  {
    int fd;
    size_t sent;
    std::string got; /* the first bytes received */
    bool connected;
  };
  std::string stream_;
  bool reads_;
  std::vector<client> clients_;

  /* One round; false if nothing moved within the time. */
  bool
  step (int wait_ms)
  {
    std::vector<struct pollfd> fds;
    std::vector<client *> at;

    for (auto &c : clients_)
      {
        short events
            = (short)((!c.connected || c.sent < stream_.size () ? POLLOUT : 0)
                      | (reads_ ? POLLIN : 0));

        if (c.fd < 0 || !events)
          continue;
        fds.push_back ({ c.fd, events, 0 });
        at.push_back (&c);
      }
    if (fds.empty () || poll (fds.data (), fds.size (), wait_ms) <= 0)
      return false;
    for (size_t i = 0; i < fds.size (); i++)
      if (fds[i].revents)
        move (*at[i], fds[i].revents);
    return true;
  }
  void
  move (client &c, short events)
  {
    char data[65536];
    ssize_t n = 1;

    if (events & POLLIN)
      {
        n = recv (c.fd, data, sizeof data, 0);
        if (n > 0 && c.got.size () < 64)
          c.got.append (data, (size_t)n);
      }
    if (events & POLLOUT)
      c.connected = true;
    if (n > 0 && (events & POLLOUT) && c.sent < stream_.size ())
      {
        n = send (c.fd, stream_.data () + c.sent, stream_.size () - c.sent,
                  MSG_NOSIGNAL);
        c.sent += n > 0 ? (size_t)n : 0;
      }
    if (!n || (n < 0 && errno != EAGAIN)
        || (!(events & (POLLIN | POLLOUT)) && (events & (POLLERR | POLLHUP))))
      {
        close (c.fd);
        c.fd = -1;
      }
  }
};

/* Send one request on a connection of its own; the status, 0 without an answer
   within @wait_ms, and the answer in *@answer. */
inline int
crowd_ask (const std::string &addr, const std::string &method,
           const std::string &path, const std::string &body, int wait_ms,
           std::string *answer = nullptr)
{
  std::string q = method + " " + path
                  + " HTTP/1.1\r\nHost: queue.example\r\n"
                    "Connection: close\r\n";
  std::string got;
  size_t sent = 0;
  int fd = crowd_connect (addr, 0);

  if (!body.empty ())
    q += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  q += "\r\n" + body;
  while (fd >= 0)
    {
      struct pollfd p
          = { fd, (short)(POLLIN | (sent < q.size () ? POLLOUT : 0)), 0 };
      char data[4096];
      ssize_t n;

      if (poll (&p, 1, wait_ms) <= 0)
        break;
      if (p.revents & POLLOUT)
        {
          n = send (fd, q.data () + sent, q.size () - sent, MSG_NOSIGNAL);
          sent += n > 0 ? (size_t)n : 0;
        }
      if (!(p.revents & (POLLIN | POLLERR | POLLHUP)))
        continue;
      n = recv (fd, data, sizeof data, 0);
      if (n <= 0)
        break;
      got.append (data, (size_t)n);
    }
  if (fd >= 0)
    close (fd);
  if (answer)
    *answer = got;
  return got.size () > 12 ? atoi (got.c_str () + 9) : 0;
}

/* Ask again while there is no answer or it is 503, as callers do; the last
   status. */
inline int
crowd_ask_until_served (const std::string &addr, const std::string &method,
                        const std::string &path, const std::string &body,
                        int attempts = 20)
{
  int status = 0;

  for (int i = 0; i < attempts && (!status || status == 503); i++)
    {
      if (i)
        usleep (1000000);
      status = crowd_ask (addr, method, path, body, 3000);
    }
  return status;
}

/* A figure of /proc/PID/status in KB, such as VmRSS or VmHWM; -1 if the
   process is gone. */
inline long
crowd_memory_kb (pid_t pid, const char *name)
{
  std::string path = "/proc/" + std::to_string (pid) + "/status";
  FILE *f = fopen (path.c_str (), "r");
  char line[256];
  long kb = -1;

  while (f && fgets (line, sizeof line, f))
    if (!strncmp (line, name, strlen (name)))
      kb = atol (line + strlen (name) + 1);
  if (f)
    fclose (f);
  return kb;
}

/* Open descriptors of the process; -1 if it is gone. */
inline int
crowd_descriptors (pid_t pid)
{
  std::string path = "/proc/" + std::to_string (pid) + "/fd";
  DIR *d = opendir (path.c_str ());
  int n = -2; /* . and .. */

  if (!d)
    return -1;
  while (readdir (d))
    n++;
  closedir (d);
  return n;
}

#endif
