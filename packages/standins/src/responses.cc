#include "jasminespar/standins/responses.h"

namespace jasminespar::standins {

http::Response JsonResponse(int status, const nlohmann::json& body) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = body.dump();
  return response;
}

http::Response ReasonResponse(int status, std::string_view reason) {
  return JsonResponse(status, {{"reason", std::string(reason)}});
}

http::Response RejectionResponse(Reason reason) {
  return ReasonResponse(HttpStatusOf(reason), NameOf(reason));
}

}  // namespace jasminespar::standins
