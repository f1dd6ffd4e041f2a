/*
 * soakhttp.h -- HTTP/1.1 of the soak test: servers, clients, timers
 *
 * One thread and one libevent loop carry everything, so that what the test
 * sees is in one order.  A channel is a TCP connection of either side, known
 * by a number; answers to a channel that has gone are dropped.  A channel
 * that is deaf takes bytes and never answers, as after a middlebox has lost
 * its state.
 */
#ifndef GL_SOAKHTTP_H
#define GL_SOAKHTTP_H

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <time.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

typedef int64_t ms_t;

inline event_base *loop_base;

/* Milliseconds of the steady clock since the first call. */
inline ms_t
now ()
{
  static ms_t first;
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  ms_t ms = t.tv_sec * 1000LL + t.tv_nsec / 1000000;
  if (!first)
    first = ms;
  return ms - first;
}

/* Call @fn once, @ms milliseconds from now. */
inline void
after (ms_t ms, std::function<void ()> fn)
{
  struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

  event_base_once (
      loop_base, -1, EV_TIMEOUT,
      [] (evutil_socket_t, short, void *arg) {
        std::unique_ptr<std::function<void ()> > f (
            static_cast<std::function<void ()> *> (arg));
        (*f) ();
      },
      new std::function<void ()> (std::move (fn)), &tv);
}

/** struct message_t - a request or a response; names of headers in lower case
 * @first, @second: method and target, or the status in @second
 */
struct message_t
{
  std::string first, second, body;
  std::map<std::string, std::string> headers;

  std::string
  header (const char *name) const
  {
    auto i = headers.find (name);
    return i == headers.end () ? "" : i->second;
  }
  std::string
  path () const
  {
    return second.substr (0, second.find ('?'));
  }
  /* Value of a member of the query, "" if there is none. */
  std::string
  query (const std::string &name) const
  {
    size_t p = second.find ('?');
    while (p != std::string::npos)
      {
        size_t e = second.find ('&', p + 1);
        std::string pair = second.substr (p + 1, e - p - 1);
        if (pair.compare (0, name.size () + 1, name + "=") == 0)
          return pair.substr (name.size () + 1);
        p = e;
      }
    return "";
  }
};

struct channel_t;
typedef std::function<void (uint64_t, message_t &)> on_message_t;
typedef std::function<void (uint64_t)> on_closed_t;

struct channel_t
{
  uint64_t id;
  struct bufferevent *bev;
  on_message_t message;
  on_closed_t closed;
  bool deaf = false;

  ~channel_t () { bufferevent_free (bev); }
};

inline std::map<uint64_t, std::shared_ptr<channel_t> > channels;

/* Close without a call of @closed; @reset: with a reset. */
inline void
channel_close (uint64_t id, bool reset = false)
{
  auto i = channels.find (id);

  if (i == channels.end ())
    return;
  struct linger hard = { 1, 0 };
  if (reset)
    setsockopt (bufferevent_getfd (i->second->bev), SOL_SOCKET, SO_LINGER,
                &hard, sizeof hard);
  channels.erase (i);
}

/* Take one whole message off @in; false if there is none yet. */
inline bool
take_message (struct evbuffer *in, message_t *m)
{
  struct evbuffer_ptr end = evbuffer_search (in, "\r\n\r\n", 4, nullptr);

  if (end.pos < 0)
    return false;
  std::string head (end.pos + 2, 0);
  evbuffer_copyout (in, head.data (), head.size ());
  size_t eol = head.find ("\r\n");
  size_t sp = head.find (' ');
  m->first = head.substr (0, sp);
  m->second = head.substr (sp + 1, head.find (' ', sp + 1) - sp - 1);
  while (eol + 2 < head.size ())
    {
      size_t from = eol + 2;
      size_t colon = head.find (':', from);
      eol = head.find ("\r\n", from);
      std::string name = head.substr (from, colon - from);
      for (char &c : name)
        c = (char)tolower (c);
      size_t v = head.find_first_not_of (' ', colon + 1);
      m->headers[name] = head.substr (v, eol - v);
    }
  size_t len = strtoul (m->header ("content-length").c_str (), nullptr, 10);
  if (evbuffer_get_length (in) < end.pos + 4 + len)
    return false;
  evbuffer_drain (in, end.pos + 4);
  m->body.resize (len);
  evbuffer_remove (in, m->body.data (), len);
  return true;
}

inline uint64_t
channel_new (struct bufferevent *bev, on_message_t message, on_closed_t closed)
{
  static uint64_t last;
  std::shared_ptr<channel_t> c (
      new channel_t{ ++last, bev, std::move (message), std::move (closed) });
  int on = 1;

  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  channels[last] = c;
  bufferevent_setcb (
      bev,
      [] (struct bufferevent *b, void *arg) {
        uint64_t id = (uint64_t)(uintptr_t)arg;
        auto self
            = channels.find (id) == channels.end () ? nullptr : channels[id];
        message_t m;
        if (self && self->deaf)
          evbuffer_drain (bufferevent_get_input (b), (size_t)-1);
        else if (self && take_message (bufferevent_get_input (b), &m))
          self->message (id, m);
      },
      nullptr,
      [] (struct bufferevent *, short what, void *arg) {
        uint64_t id = (uint64_t)(uintptr_t)arg;
        auto i = channels.find (id);
        if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            || i == channels.end ())
          return;
        auto self = i->second;
        if (self->closed)
          self->closed (id);
        channels.erase (id);
      },
      (void *)(uintptr_t)last);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
  return last;
}

inline struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in sa = {};

  sa.sin_family = AF_INET;
  sa.sin_port = htons ((uint16_t)port);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return sa;
}

/** struct server_t - a listen address; @channels_open are those accepted */
struct server_t
{
  struct evconnlistener *listener = nullptr;
  on_message_t message;
  std::function<void (uint64_t)> accepted;

  bool
  open (int port, on_message_t fn, std::function<void (uint64_t)> acc)
  {
    struct sockaddr_in sa = loopback (port);
    message = std::move (fn);
    accepted = std::move (acc);
    listener = evconnlistener_new_bind (
        loop_base,
        [] (struct evconnlistener *, evutil_socket_t fd, struct sockaddr *,
            int, void *arg) {
          server_t *s = static_cast<server_t *> (arg);
          s->accepted (channel_new (
              bufferevent_socket_new (loop_base, fd, BEV_OPT_CLOSE_ON_FREE),
              s->message, nullptr));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
        (struct sockaddr *)&sa, sizeof sa);
    return listener != nullptr;
  }
  void
  close ()
  {
    if (listener)
      evconnlistener_free (listener);
    listener = nullptr;
  }
};

/* Open a channel to @port; 0 if that fails at once. */
inline uint64_t
channel_open (int port, on_message_t message, on_closed_t closed)
{
  struct sockaddr_in sa = loopback (port);
  struct bufferevent *bev
      = bufferevent_socket_new (loop_base, -1, BEV_OPT_CLOSE_ON_FREE);

  if (bufferevent_socket_connect (bev, (struct sockaddr *)&sa, sizeof sa))
    {
      bufferevent_free (bev);
      return 0;
    }
  return channel_new (bev, std::move (message), std::move (closed));
}

/* Write one message: the start line and headers in @head, each line with its
   end, and @body.  Nothing if the channel has gone or is deaf. */
inline void
channel_write (uint64_t id, const std::string &head, const std::string &body)
{
  auto i = channels.find (id);

  if (i == channels.end () || i->second->deaf)
    return;
  std::string text = head + "Content-Type: application/json\r\n"
                     + "Content-Length: " + std::to_string (body.size ())
                     + "\r\n\r\n" + body;
  bufferevent_write (i->second->bev, text.data (), text.size ());
}

/* All that was written to the channel has been sent. */
inline bool
channel_sent (uint64_t id)
{
  return channels.count (id)
         && !evbuffer_get_length (bufferevent_get_output (channels[id]->bev));
}

/* Answer with @status and @body, @delay milliseconds from now. */
inline void
answer (uint64_t id, int status, const std::string &body, ms_t delay = 0)
{
  if (delay)
    after (delay, [=] { answer (id, status, body); });
  else
    channel_write (id, "HTTP/1.1 " + std::to_string (status) + " x\r\n", body);
}

inline void
channel_deafen (uint64_t id)
{
  auto i = channels.find (id);

  if (i != channels.end ())
    i->second->deaf = true;
}

/* All of @open are reset, or fall silent. */
inline void
channels_fail (std::set<uint64_t> &open, bool reset)
{
  for (uint64_t c : open)
    if (reset)
      channel_close (c, true);
    else
      channel_deafen (c);
  open.clear ();
}

#endif
