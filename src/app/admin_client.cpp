#include "app/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <stdexcept>

namespace inference_router::app {

std::string callAdmin(const net::Endpoint& endpoint, const std::string& line, double withinMs) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  const std::string text = line + "\n";
  std::string answer;
  bool closed = false;
  boost::system::error_code trouble;
  socket.async_connect(endpoint, [&](const boost::system::error_code& error) {
    if ((trouble = error))
      return;
    boost::asio::async_write(socket, boost::asio::buffer(text),
                             [&](const boost::system::error_code& failed, std::size_t) {
                               if ((trouble = failed))
                                 return;
                               boost::asio::async_read(
                                   socket, boost::asio::dynamic_buffer(answer),
                                   [&](const boost::system::error_code& end, std::size_t) {
                                     closed = end == boost::asio::error::eof;
                                     if (!closed)
                                       trouble = end;
                                   });
                             });
  });
  io.run_for(std::chrono::milliseconds(static_cast<long>(withinMs)));
  const std::string where = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  if (trouble)
    throw std::runtime_error("the door at " + where + " cannot be used: " + trouble.message());
  if (!closed || answer.empty())
    throw std::runtime_error("the door at " + where + " does not answer");
  return answer;
}

}  // namespace inference_router::app
